#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <optional>

/// Decides on which software version a stream of unknown origin can only have begun.
///
/// Load pattern: callers take streams up while servers of a new version join, at a node that stood
/// still or was cut off meanwhile. What such a node knows is sound as of its last reading only, and
/// a version that it has not heard of may have begun the stream. That nobody speaks of a second
/// version proves nothing; a list that was read after the stream came back does.
namespace vanilladyke {

/// @brief What a node knows of a service's versions when a stream of unknown origin is taken up.
struct VersionEvidence
{
    /// The list in use was read by a call that began after the stream came back.
    bool isListFresh = false;
    /// Another node knows of several versions that callers' streams may have begun on.
    bool areSeveralKnown = false;
    /// The only version that this node has seen for as long as callers may come back.
    std::optional<std::uint64_t> own;
    /// The same of another node that has watched for longer.
    std::optional<std::uint64_t> others;
    TimePoint othersListedAt; ///< when the list of that node was read at the latest
    /// All servers that are listed now have the version of @p others.
    bool isOthersAlone = false;
    /// Since when this node has watched the list without a gap.
    std::optional<TimePoint> watchedSince;
};

/// @return the version; none if there may be several
[[nodiscard]] std::optional<std::uint64_t> onlyPossibleVersion(const VersionEvidence &evidence);

} // namespace vanilladyke
