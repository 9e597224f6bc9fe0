#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <cstdint>
#include <unordered_map>

/// Request rates of shared prefixes, and the number of engines that should cache each of them.
///
/// Load pattern: a few prefixes are very hot, and the set of hot ones shifts. On a single engine a
/// hot prefix builds a queue while other engines are idle; on all engines it evicts every other
/// prefix from their caches. Each prefix gets as many preferred engines as its load requires, taken
/// in rendezvous order, so that nodes that measure slightly different rates still agree on all of
/// them but the last.
namespace vanilladyke {

/// @brief Rates of the shared prefixes in this node's requests; bounded.
class HotPrefixes
{
public:
    /// @brief Maximum prefixes tracked at once; about 100 bytes each.
    static constexpr std::size_t MostTracked = 4096;

    /// @brief Counts one request.
    /// @param engineTime engine time that it uses, divided by the requests that run concurrently
    /// @param nodes number of nodes that share the traffic
    /// @return number of engines that should cache the prefix
    std::uint32_t countRequest(const ChainHash &prefix, Duration engineTime, std::uint32_t nodes,
                               TimePoint now);

    /// @brief Number of engines that should cache the prefix, as of its last counted request.
    [[nodiscard]] std::uint32_t preferredCount(const ChainHash &prefix) const;

private:
    struct Tracked
    {
        double work = 0; ///< engine seconds, exponentially decayed
        std::uint32_t preferredCount = 1;
        TimePoint changedAt;
    };

    void evictLeastUsed(TimePoint now);

    std::unordered_map<ChainHash, Tracked> m_tracked;
};

} // namespace vanilladyke
