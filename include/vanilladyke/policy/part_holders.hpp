#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Predicts which engines hold a shared part in their prefix cache, from the requests that any node
/// sent there.
///
/// Load pattern: 72 nodes, a thousand shared parts, and engines whose cache holds fourteen of them.
/// The fleet sends a given part every four seconds, a single node once in five minutes. From its
/// own requests no node can tell where a part is, and by the time of its next use half of the
/// engines have evicted theirs. Engines evict the least recently used work, so that the amount
/// written since the last use of a part tells whether it is still cached.
namespace vanilladyke {

/// @brief The view of one node. Pure. Parts and servers are identified by hashes, as in updates
/// between nodes.
class PartHolders
{
public:
    /// Uses longer ago than this are ignored: too much may have been written that no node reports.
    static constexpr Duration Lifetime = std::chrono::seconds(30);
    /// Lifetime of a use if the capacity of an engine's cache is unknown.
    static constexpr Duration LifetimeWithoutCapacity = std::chrono::seconds(8);
    /// Fraction of an engine's memory that holds shared parts; running requests take the rest.
    static constexpr double CacheFraction = 0.75;
    static constexpr std::size_t MaxHolders = 4; ///< of a part; the oldest is dropped
    static constexpr std::size_t MaxParts = 65536;

    /// @brief A request with the part was sent to the server.
    struct Use
    {
        std::uint64_t part = 0;
        std::uint64_t backend = 0;
        std::uint64_t weights = 0; ///< version under which the part is prefilled
        std::uint64_t written = 0; ///< tokens that it adds to the engine's cache
    };

    /// @brief A lookup of a part.
    struct Lookup
    {
        std::uint64_t part = 0;
        std::uint64_t weights = 0;
        std::uint64_t tokens = 0;       ///< of the part
        std::uint64_t memoryTokens = 0; ///< capacity of an engine's cache; 0: unknown
    };

    void recordUse(const Use &use, TimePoint now);
    [[nodiscard]] bool holds(const Lookup &lookup, std::uint64_t backend, TimePoint now) const;
    /// @brief Servers that are predicted to hold the part, the most recently used last.
    [[nodiscard]] std::vector<std::uint64_t> holders(const Lookup &lookup, TimePoint now) const;
    /// @brief Servers that were sent the part, whether or not it is still cached.
    [[nodiscard]] std::vector<std::uint64_t> backends(std::uint64_t part) const;
    [[nodiscard]] std::size_t size() const { return m_parts.size(); }

private:
    struct Holder
    {
        std::uint64_t backend = 0;
        std::uint64_t weights = 0;
        TimePoint at;                   ///< last use
        std::uint64_t writtenAtUse = 0; ///< tokens written to the engine up to the last use
    };

    [[nodiscard]] bool isCached(const Holder &holder, const Lookup &lookup, TimePoint now) const;
    void dropExpired(TimePoint now);

    std::unordered_map<std::uint64_t, std::vector<Holder>> m_parts;
    std::unordered_map<std::uint64_t, std::uint64_t> m_written; ///< tokens, by server
    std::size_t m_usesSinceCleanup = 0;
};

} // namespace vanilladyke
