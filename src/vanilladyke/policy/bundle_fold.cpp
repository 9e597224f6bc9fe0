#include "vanilladyke/policy/bundle_fold.hpp"

#include <algorithm>
#include <utility>

namespace vanilladyke {

namespace {

/// A new checkpoint is written when the last one has reached this fraction of the retention, so
/// that two attempts may fail before the log drops the records that readers need.
constexpr int RetentionParts = 3;

FoldNote makeNote(LogOffset offset, const std::string &nonce, FoldVerdict verdict,
                  std::string reason)
{
    FoldNote note;
    note.offset = offset;
    note.nonce = nonce;
    note.verdict = verdict;
    note.reason = std::move(reason);
    return note;
}

bool extends(const std::optional<AcceptedBundle> &accepted, const BundleHeader &header)
{
    return accepted ? header.parent == accepted->entry.digest : header.parent.empty();
}

} // namespace

std::string_view toString(FoldVerdict verdict)
{
    switch (verdict) {
    case FoldVerdict::Accepted:
        return "accepted";
    case FoldVerdict::LostRace:
        return "lost_race";
    case FoldVerdict::Refused:
        return "refused";
    case FoldVerdict::Waiting:
        return "waiting";
    case FoldVerdict::Checkpoint:
        return "checkpoint";
    }
    return "refused";
}

std::vector<VerifyKey> validSigners(const SignedBundle &bundle, const TrustedSigners &trusted)
{
    std::set<VerifyKey> valid;
    for (const Signature &signature : bundle.signatures) {
        if (trusted.keys.contains(signature.signer) && holds(signature, bundle.text)) {
            valid.insert(signature.signer);
        }
    }
    return {valid.begin(), valid.end()};
}

BundleFold::BundleFold(TrustedSigners trusted)
    : m_trusted(std::move(trusted))
{}

std::vector<FoldNote> BundleFold::apply(const LogPage &page)
{
    m_firstKept = page.firstOffset;
    if (page.firstOffset > m_next) {
        recordGap(page.firstOffset);
    }
    std::vector<FoldNote> notes;
    for (const LogRecord &record : page.records) {
        if (record.offset < m_next) {
            continue;
        }
        if (record.offset > m_next) {
            recordGap(record.offset);
        }
        m_next = record.offset + 1;
        notes.push_back(applyRecord(record));
        notes.back().acceptedVersion = m_accepted ? m_accepted->entry.version : 0;
    }
    m_caughtUp = m_next >= page.nextOffset;
    if (m_caughtUp && !m_isComplete && !m_accepted) {
        acceptRestart();
    }
    return notes;
}

/// The log dropped records that this reader did not read. Without a checkpoint, it can no longer
/// decide which of several concurrent publications was accepted.
void BundleFold::recordGap(LogOffset firstOffset)
{
    m_isComplete = false;
    m_undecided.clear();
    m_viewStart = firstOffset;
    m_next = firstOffset;
}

FoldNote BundleFold::applyRecord(const LogRecord &record)
{
    auto parsed = parseBundleRecord(record.data);
    if (!parsed) {
        return makeNote(record.offset, "", FoldVerdict::Refused, parsed.error());
    }
    const auto header = parseBundleHeader(parsed->bundle.text);
    if (!header) {
        return makeNote(record.offset, parsed->nonce, FoldVerdict::Refused, header.error());
    }
    Publication publication;
    publication.offset = record.offset;
    publication.appendedAt = record.appendedAt;
    publication.nonce = parsed->nonce;
    publication.header = *header;
    publication.digest = digestOf(parsed->bundle.text);
    publication.signers = validSigners(parsed->bundle, m_trusted);
    publication.bundle = parsed->bundle;
    if (publication.signers.size() < m_trusted.needed) {
        FoldNote note =
                makeNote(record.offset, parsed->nonce, FoldVerdict::Refused,
                         std::to_string(publication.signers.size()) + " trusted signatures hold, "
                                 + std::to_string(m_trusted.needed) + " are needed");
        note.version = header->version;
        return note;
    }
    FoldNote note = parsed->checkpoint ? applyCheckpoint(*parsed, std::move(publication))
                                       : applyPublication(std::move(publication));
    note.version = header->version;
    return note;
}

FoldNote BundleFold::applyPublication(Publication publication)
{
    if (m_isComplete) {
        return evaluate(publication);
    }
    FoldNote note = makeNote(publication.offset, publication.nonce, FoldVerdict::Waiting,
                             "records before it were dropped by the log");
    m_undecided.push_back(std::move(publication));
    return note;
}

FoldNote BundleFold::evaluate(const Publication &publication)
{
    const auto verdict = [&](FoldVerdict value, std::string reason) {
        return makeNote(publication.offset, publication.nonce, value, std::move(reason));
    };
    if (m_accepted && publication.digest == m_accepted->entry.digest) {
        return verdict(FoldVerdict::Accepted, "the same bundle is in force already");
    }
    if (!extends(m_accepted, publication.header)) {
        return verdict(FoldVerdict::LostRace, "its parent is not the accepted bundle");
    }
    if (m_accepted && publication.header.version <= m_accepted->entry.version) {
        return verdict(FoldVerdict::Refused, "its version is not above the accepted one");
    }
    accept(publication);
    return verdict(FoldVerdict::Accepted, "");
}

void BundleFold::accept(const Publication &publication)
{
    HistoryEntry entry;
    entry.version = publication.header.version;
    entry.digest = publication.digest;
    entry.parent = publication.header.parent;
    entry.signers = publication.signers;
    entry.offset = publication.offset;
    entry.acceptedAt = publication.appendedAt;
    m_history.push_back(entry);
    if (m_history.size() > MaxHistory) {
        m_history.erase(m_history.begin());
    }
    m_accepted = AcceptedBundle{publication.bundle, std::move(entry)};
}

FoldNote BundleFold::applyCheckpoint(const BundleRecord &record, Publication repeated)
{
    const CheckpointPart &checkpoint = *record.checkpoint;
    const HistoryEntry &last = checkpoint.history.back();
    const bool isConsistent =
            last.digest == repeated.digest && last.version == repeated.header.version
            && last.offset < checkpoint.asOf && checkpoint.asOf <= repeated.offset;
    const auto verdict = [&](FoldVerdict value, std::string reason) {
        return makeNote(repeated.offset, repeated.nonce, value, std::move(reason));
    };
    if (!isConsistent) {
        return verdict(FoldVerdict::Refused, "the checkpoint contradicts itself");
    }
    if (!m_isComplete) {
        if (checkpoint.asOf < m_viewStart) {
            return verdict(FoldVerdict::Waiting, "the log dropped records after its point");
        }
        if (m_accepted && last.version < m_accepted->entry.version) {
            return verdict(FoldVerdict::Refused, "it is older than the bundle in force");
        }
        adopt(checkpoint, repeated);
    } else if (!matchesHistory(checkpoint)) {
        return verdict(FoldVerdict::Refused, "another bundle was accepted at its point");
    }
    if (checkpoint.asOf >= m_checkpointAsOf) {
        m_checkpointAsOf = checkpoint.asOf;
        m_checkpointAt = repeated.appendedAt;
    }
    return verdict(FoldVerdict::Checkpoint, "");
}

bool BundleFold::matchesHistory(const CheckpointPart &checkpoint) const
{
    const auto inForce =
            std::find_if(m_history.rbegin(), m_history.rend(),
                         [&](const HistoryEntry &entry) { return entry.offset < checkpoint.asOf; });
    return inForce != m_history.rend() && inForce->digest == checkpoint.history.back().digest;
}

void BundleFold::adopt(const CheckpointPart &checkpoint, const Publication &repeated)
{
    m_accepted = AcceptedBundle{repeated.bundle, checkpoint.history.back()};
    m_history = checkpoint.history;
    m_isComplete = true;
    replay(checkpoint.asOf);
}

void BundleFold::replay(LogOffset from)
{
    for (const Publication &publication : std::exchange(m_undecided, {})) {
        if (publication.offset >= from) {
            static_cast<void>(evaluate(publication));
        }
    }
}

/// All nodes were down for longer than the log keeps records, so that no checkpoint is left and
/// none will be written: no publication could ever be accepted again. A bundle with RestartParent
/// starts a new history. Called only at the end of the log, because a checkpoint further on would
/// give the accepted bundle.
void BundleFold::acceptRestart()
{
    const auto first =
            std::find_if(m_undecided.begin(), m_undecided.end(), [](const auto &waiting) {
                return waiting.header.parent == RestartParent;
            });
    if (first != m_undecided.end()) {
        const LogOffset after = first->offset + 1;
        accept(*first);
        m_isComplete = true;
        replay(after);
    }
}

std::optional<BundleRecord> BundleFold::checkpointDue(WallTime wallNow, Duration retention) const
{
    if (!m_accepted || !m_isComplete || !m_caughtUp) {
        return std::nullopt;
    }
    const WallTime checkpointAt = m_checkpointAt.value_or(m_history.front().acceptedAt);
    const bool isOldByTime = wallNow - checkpointAt >= retention / RetentionParts;
    const LogOffset kept = m_next - std::min(m_firstKept, m_next);
    const LogOffset left = m_checkpointAsOf - std::min(m_firstKept, m_checkpointAsOf);
    const bool isOldByCount = m_firstKept > 0 && left <= kept / RetentionParts;
    if (!isOldByCount && !isOldByTime) {
        return std::nullopt;
    }
    BundleRecord record;
    record.bundle = m_accepted->bundle;
    record.checkpoint = CheckpointPart{m_next, m_history};
    return record;
}

} // namespace vanilladyke
