#pragma once

#include "vanilladyke/control/bundle_status_store.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/model/ids.hpp"

#include <optional>
#include <string>
#include <vector>

/// Publishing a bundle through this node, and telling the truth about what came of it.
namespace vanilladyke {

/// @brief What became of a publication.
enum class PublishOutcome {
    Accepted,
    LostRace, ///< another bundle with the same parent was first
    Refused,  ///< it breaks a rule; the errors say which
    Unknown,  ///< it may be in the log; the account will tell
    LogDown,  ///< it is not in the log
};

[[nodiscard]] std::string_view toString(PublishOutcome outcome);

/// @brief The answer to the operator.
struct PublishResult
{
    PublishOutcome outcome = PublishOutcome::Unknown;
    std::uint64_t version = 0;         ///< the publication's own
    std::string digest;                ///< the publication's own
    std::uint64_t acceptedVersion = 0; ///< in force by this node's knowledge
    std::string detail;
    std::vector<FieldError> errors;
};

/// @brief What publishing needs to know of the host.
struct PublishSettings
{
    std::optional<Endpoint> log; ///< none if the node runs without a log
    TrustedSigners trusted;
};

/// @brief Checks the signed bundle, appends it and waits for the verdict of the log.
/// @param body the signed bundle as `bundle sign` writes it
[[nodiscard]] PublishResult publishBundle(const std::string &body, const PublishSettings &settings,
                                          const BundleStatusStore &board, TimePoint deadline);

} // namespace vanilladyke
