#include "vanilladyke/control/bundle_controller.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/customer_index.hpp"
#include "vanilladyke/model/json_reader.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Delay per rank: the node of rank n appends a due checkpoint n times this later than the first
/// node. Long enough for one node to append it and for all others to read it.
constexpr Duration CheckpointRankDelay = std::chrono::seconds(2);
constexpr Duration CheckpointCheckInterval = std::chrono::milliseconds(500);

} // namespace

BundleController::BundleController(BundleControl control, BundleStatusStore &statusStore,
                                   const FleetStore &fleet)
    : m_control(std::move(control))
    , m_statusStore(statusStore)
    , m_fleet(fleet)
    , m_fold(m_control.trusted)
{
    publishStatus();
}

void BundleController::handle(const Event &event, TimePoint now)
{
    if (const auto *read = std::get_if<BundleLogRead>(&event)) {
        applyPage(*read->page);
    } else if (const auto *down = std::get_if<BundleLogDown>(&event)) {
        m_logReachable = false;
        m_logError = down->reason;
        publishStatus();
    }
    if (now >= m_nextCheckpointCheck) {
        m_nextCheckpointCheck = now + CheckpointCheckInterval;
        appendDueCheckpoint(now);
    }
}

void BundleController::contribute(Fleet &fleet, TimePoint /*now*/) const
{
    fleet.bundle = m_bundle;
    fleet.customers = m_customers;
    fleet.bundleOffset = m_accepted ? m_accepted->entry.offset : 0;
}

void BundleController::applyPage(const LogPage &page)
{
    const bool reconnected = !m_logReachable;
    m_logReachable = true;
    m_logError.clear();
    const std::vector<FoldNote> notes = m_fold.apply(page);
    for (const FoldNote &note : notes) {
        LogEvent("bundle_record",
                 note.verdict == FoldVerdict::Refused ? Severity::Warning : Severity::Info)
                .field("offset", note.offset)
                .field("verdict", toString(note.verdict))
                .field("version", note.version)
                .field("accepted_version", note.acceptedVersion)
                .field("reason", note.reason);
    }
    const auto &accepted = m_fold.accepted();
    if (accepted && m_fold.caughtUp()) {
        activate(*accepted, "log");
    }
    if (reconnected || !notes.empty()) {
        publishStatus();
    }
    for (const FoldNote &note : notes) {
        m_statusStore.addNote(note);
    }
}

std::string BundleController::peerRecord() const
{
    if (!m_accepted) {
        return "";
    }
    BundleRecord record;
    record.bundle = m_accepted->bundle;
    record.checkpoint = CheckpointPart{m_accepted->entry.offset + 1, history()};
    return writeBundleRecord(record);
}

/// Signatures and version are checked as for a record of the log, so that a faulty peer can
/// introduce neither an unsigned bundle nor an older one.
void BundleController::acceptPeerRecord(std::string_view data)
{
    auto record = parseBundleRecord(data);
    const bool isValid =
            record && record->checkpoint
            && record->checkpoint->history.back().digest == digestOf(record->bundle.text);
    if (!isValid
        || validSigners(record->bundle, m_control.trusted).size() < m_control.trusted.needed) {
        LogEvent("bundle_refused", Severity::Warning)
                .field("source", "peer")
                .field("reason", isValid ? "bundle has too few valid signatures of trusted signers"
                                         : "record is malformed or its history does not match");
        return;
    }
    const HistoryEntry last = record->checkpoint->history.back();
    if (m_bundle && last.version <= m_bundle->version) {
        return;
    }
    m_peerHistory = std::move(record->checkpoint->history);
    activate({std::move(record->bundle), last}, "peer");
    publishStatus();
}

/// The history from the log, unless the active bundle was received only from a peer.
const std::vector<HistoryEntry> &BundleController::history() const
{
    const auto &fromLog = m_fold.history();
    const bool current =
            m_accepted && !fromLog.empty() && fromLog.back().version >= m_accepted->entry.version;
    return current ? fromLog : m_peerHistory;
}

void BundleController::activate(const AcceptedBundle &accepted, std::string_view source)
{
    const auto header = parseBundleHeader(accepted.bundle.text);
    const bool newer = header && (!m_bundle || header->version > m_bundle->version);
    if (!newer) {
        return;
    }
    auto bundle = parseBundle(accepted.bundle.text);
    if (!bundle) {
        LogEvent("bundle_unreadable", Severity::Error)
                .field("version", header->version)
                .field("errors", describe("bundle", bundle.error()));
        return;
    }
    m_bundle = std::make_shared<const Bundle>(std::move(*bundle));
    m_customers = std::make_shared<const CustomerIndex>(m_bundle);
    m_accepted = std::make_shared<const AcceptedBundle>(accepted);
    LogEvent("bundle_in_force")
            .field("version", m_bundle->version)
            .field("digest", accepted.entry.digest)
            .field("offset", accepted.entry.offset)
            .field("source", source);
}

void BundleController::appendDueCheckpoint(TimePoint now)
{
    auto due = m_fold.checkpointDue(std::chrono::system_clock::now(), m_control.logRetention);
    if (!due || !m_logReachable) {
        m_checkpointAt.reset();
        return;
    }
    if (!m_checkpointAt) {
        m_checkpointAt = now + checkpointDelay();
    }
    if (now < *m_checkpointAt) {
        return;
    }
    m_checkpointAt = now + CheckpointRankDelay;
    due->nonce = newUuid();
    LogEvent("checkpoint")
            .field("version", m_fold.accepted()->entry.version)
            .field("as_of", due->checkpoint->asOf);
    m_control.appendCheckpoint(writeBundleRecord(*due));
}

/// The rank comes from rendezvous hashing over the live nodes: the order differs between bundles,
/// and all nodes compute the same order without exchanging messages.
Duration BundleController::checkpointDelay() const
{
    const std::shared_ptr<const Fleet> fleet = m_fleet.current();
    const std::string &digest = m_fold.accepted()->entry.digest;
    const std::string own = digestOf(digest + m_control.node.str());
    const auto before =
            std::count_if(fleet->members.begin(), fleet->members.end(), [&](const Member &member) {
                return member.liveness == Liveness::Alive && member.node != m_control.node
                       && digestOf(digest + member.node.str()) < own;
            });
    return CheckpointRankDelay * before;
}

void BundleController::publishStatus()
{
    BundleStatus status;
    status.accepted = m_accepted;
    status.history = history();
    status.logReachable = m_logReachable;
    status.logComplete = m_fold.isComplete();
    status.logError = m_logError;
    if (m_logReachable && !m_fold.isComplete()) {
        status.logError = "records were dropped before they were read; waiting for a checkpoint";
    }
    m_statusStore.setStatus(std::move(status));
}

} // namespace vanilladyke
