#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <cstdint>
#include <unordered_map>

/// How often each shared prefix is asked for, and so on how many engines it should live.
///
/// Load pattern: a few prefixes are very hot, and which ones shifts. On one home a hot prefix
/// queues while other engines are idle; on all engines it pushes every other prefix out of their
/// caches. It gets as many homes as its work fills, counted along the rendezvous order, so that
/// nodes that measure slightly different rates still agree on all homes but the last.
namespace vanilladyke {

/// @brief Rates of the shared prefixes that this node sees; bounded.
class HotPrefixes
{
public:
    /// @brief Prefixes that are tracked at once; about 100 bytes each.
    static constexpr std::size_t MostTracked = 4096;

    /// @brief Counts one request.
    /// @param engineTime time of an engine that it takes, over all that run there at once
    /// @param nodes nodes that see the same traffic
    /// @return engines that the prefix should live on
    std::uint32_t note(const ChainHash &prefix, Duration engineTime, std::uint32_t nodes,
                       TimePoint now);

    /// @brief Engines that the prefix should live on, as last noted.
    [[nodiscard]] std::uint32_t homes(const ChainHash &prefix) const;

private:
    struct Tracked
    {
        double work = 0; ///< engine seconds, fading
        std::uint32_t homes = 1;
        TimePoint changedAt;
    };

    void makeRoom(TimePoint now);

    std::unordered_map<ChainHash, Tracked> m_tracked;
};

} // namespace vanilladyke
