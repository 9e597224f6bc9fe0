#include "vanilladyke/operators/publisher.hpp"

#include "vanilladyke/control/bundle_log.hpp"
#include "vanilladyke/model/bundle_check.hpp"
#include "vanilladyke/platform/log_client.hpp"

namespace vanilladyke {

namespace {

PublishResult refused(PublishResult result, FieldError error)
{
    result.outcome = PublishOutcome::Refused;
    result.errors.push_back(std::move(error));
    return result;
}

bool isSuccessor(const BundleHeader &header, const std::shared_ptr<const AcceptedBundle> &accepted)
{
    if (!accepted) {
        return header.parent.empty() || header.parent == RestartParent;
    }
    return header.parent == accepted->entry.digest;
}

/// Runs all checks that need no access to the log. Returns nullopt if the bundle may be appended.
std::optional<PublishResult> checkBeforeAppend(PublishResult result, const SignedBundle &bundle,
                                               const BundleHeader &header,
                                               const PublishSettings &settings,
                                               const BundleStatus &status)
{
    result.errors = checkBundle(bundle.text);
    if (!result.errors.empty()) {
        result.outcome = PublishOutcome::Refused;
        return result;
    }
    const std::size_t valid = validSigners(bundle, settings.trusted).size();
    if (valid < settings.trusted.needed) {
        return refused(std::move(result),
                       {"signatures", std::to_string(valid) + " hold",
                        std::to_string(settings.trusted.needed) + " trusted ones are needed"});
    }
    if (status.accepted && status.accepted->entry.digest == result.digest) {
        result.outcome = PublishOutcome::Accepted;
        result.detail = "it is in force already";
        return result;
    }
    if (!isSuccessor(header, status.accepted)) {
        result.outcome = PublishOutcome::LostRace;
        result.detail = "its parent is not the bundle in force";
        return result;
    }
    if (header.version <= result.acceptedVersion) {
        return refused(std::move(result), {"version", std::to_string(header.version),
                                           "must be above the one in force"});
    }
    return std::nullopt;
}

PublishResult resultOf(PublishResult result, const FoldNote &note)
{
    result.acceptedVersion = note.acceptedVersion;
    result.detail = note.reason;
    switch (note.verdict) {
    case FoldVerdict::Accepted:
        result.outcome = PublishOutcome::Accepted;
        break;
    case FoldVerdict::LostRace:
        result.outcome = PublishOutcome::LostRace;
        break;
    default:
        result.outcome = PublishOutcome::Refused;
        result.errors.push_back({"", "", note.reason});
    }
    return result;
}

} // namespace

std::string_view toString(PublishOutcome outcome)
{
    switch (outcome) {
    case PublishOutcome::Accepted:
        return "accepted";
    case PublishOutcome::LostRace:
        return "lost_race";
    case PublishOutcome::Refused:
        return "refused";
    case PublishOutcome::Unknown:
        return "unknown";
    case PublishOutcome::LogDown:
        return "log_down";
    }
    return "unknown";
}

PublishResult publishBundle(const std::string &body, const PublishSettings &settings,
                            const BundleStatusStore &board, TimePoint deadline)
{
    PublishResult result;
    const BundleStatus status = board.status();
    result.acceptedVersion = status.accepted ? status.accepted->entry.version : 0;
    const auto bundle = parseSignedBundle(body);
    if (!bundle) {
        return refused(std::move(result), {"", "", bundle.error()});
    }
    const auto header = parseBundleHeader(bundle->text);
    if (!header) {
        return refused(std::move(result), {"", "", header.error()});
    }
    result.version = header->version;
    result.digest = digestOf(bundle->text);
    if (auto decided = checkBeforeAppend(result, *bundle, *header, settings, status)) {
        return std::move(*decided);
    }
    if (!settings.log) {
        result.outcome = PublishOutcome::LogDown;
        result.detail = "this node runs without a log";
        return result;
    }
    BundleRecord record;
    record.nonce = newUuid();
    record.bundle = *bundle;
    LogClient log(*settings.log, BundleStream);
    const auto offset = log.append(writeBundleRecord(record), deadline);
    const bool notAppended = !offset
                             && (offset.error().error == LogError::NotSent
                                 || offset.error().error == LogError::Refused);
    if (notAppended) {
        result.outcome = PublishOutcome::LogDown;
        result.detail = offset.error().detail;
        return result;
    }
    // If the response was lost, the record may or may not be in the log. Appending it again could
    // duplicate it; only finding its nonce when the log is read back settles the question.
    const auto note = board.verdict(record.nonce, result.digest, deadline);
    if (!note) {
        result.outcome = PublishOutcome::Unknown;
        result.detail = offset ? "it is in the log, but the log could not be read back in time"
                               : "the log's answer was lost: " + offset.error().detail;
        return result;
    }
    return resultOf(std::move(result), *note);
}

} // namespace vanilladyke
