#include "vanilladyke/policy/stream_version.hpp"

namespace vanilladyke {

std::optional<std::uint64_t> onlyPossibleVersion(const VersionEvidence &evidence)
{
    if (!evidence.isListFresh || evidence.areSeveralKnown) {
        return std::nullopt;
    }
    if (evidence.own) {
        return evidence.own;
    }
    // A version that came and left between the other node's reading and this node's first one is
    // known to neither.
    const bool isWithoutGap =
            evidence.watchedSince && evidence.othersListedAt >= *evidence.watchedSince;
    return isWithoutGap && evidence.isOthersAlone ? evidence.others : std::nullopt;
}

} // namespace vanilladyke
