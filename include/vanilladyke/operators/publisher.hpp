#pragma once

#include "vanilladyke/control/bundle_status_store.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/model/ids.hpp"

#include <optional>
#include <string>
#include <vector>

/// Publishes a bundle through this node and reports the outcome that the log confirms.
namespace vanilladyke {

/// @brief Outcome of a publication.
enum class PublishOutcome {
    Accepted,
    LostRace, ///< another bundle with the same parent was accepted first
    Refused,  ///< the bundle is invalid; see PublishResult::errors
    Unknown,  ///< the bundle may be in the log; reading the log settles it
    LogDown,  ///< the log is unavailable; the bundle was not appended
};

[[nodiscard]] std::string_view toString(PublishOutcome outcome);

/// @brief Result reported to the operator.
struct PublishResult
{
    PublishOutcome outcome = PublishOutcome::Unknown;
    std::uint64_t version = 0;         ///< version of the published bundle
    std::string digest;                ///< digest of the published bundle
    std::uint64_t acceptedVersion = 0; ///< current version in this node's view
    std::string detail;
    std::vector<FieldError> errors;
};

/// @brief Host settings for publishing.
struct PublishSettings
{
    std::optional<Endpoint> log; ///< empty if the node runs without a log
    TrustedSigners trusted;
};

/// @brief Validates the signed bundle, appends it to the log and waits until reading the log back
/// shows whether it was accepted.
/// @param body the signed bundle in the format written by `bundle sign`
[[nodiscard]] PublishResult publishBundle(const std::string &body, const PublishSettings &settings,
                                          const BundleStatusStore &board, TimePoint deadline);

} // namespace vanilladyke
