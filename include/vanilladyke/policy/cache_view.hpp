#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

/// A node's view of the engines' prefix caches.
///
/// Load pattern: prompts share long prefixes, and engines evict them within seconds. Without a
/// view, requests go to engines that have to prefill the whole prompt. The view is a 16-way
/// set-associative table of 32-byte entries. A full set evicts an invalid entry or else the least
/// recently updated one, since engines evict in that order too. A wrong entry costs time but never
/// correctness: the whole prompt is always sent.
namespace vanilladyke {

/// @brief A cached prefix and the age of the last update on it.
struct CachedLength
{
    std::uint32_t tokens = 0;
    Duration age{};      ///< since the update was received
    bool trusted = true; ///< false if updates of the engine have been lost since
};

/// @brief An engine with a cached prefix, according to the view.
///
/// The beginning of a prefix is requested more often than its end, so updates on it are more
/// recent. Lengths are ordered longest first; a shorter one is listed only if its update is at most
/// half as old as that of the next longer one, or trusted where the longer one is not.
struct PrefixHolder
{
    /// @brief Four halvings of the age span 16 s to 1 s; finer steps would not change a placement.
    static constexpr std::size_t MostLengths = 4;

    EngineKey engine{};
    Incarnation incarnation{};
    std::array<CachedLength, MostLengths> lengths{};
    std::size_t lengthCount = 0;

    /// @brief The longest cached prefix.
    [[nodiscard]] const CachedLength &longest() const { return lengths.front(); }
    /// @brief Adds a shorter length if its update is at most half as old or newly trusted.
    void add(const CachedLength &shorter);
};

/// @brief One entry of the view, as transferred to another node.
struct CacheEntry
{
    EngineKey engine{};
    Incarnation incarnation{};
    ChainHash hash;
    Duration age{}; ///< since the update was received

    bool operator==(const CacheEntry &) const = default;
};

/// @brief A page of entries and the position of the next page; 0 if there is none.
struct CacheEntryPage
{
    std::vector<CacheEntry> entries;
    std::size_t next = 0;
};

/// @brief Fixed-size table of (engine, incarnation, prefix).
class CacheView
{
public:
    /// @brief Size of one entry in bytes.
    static constexpr std::size_t EntryBytes = 32;
    /// @brief Maximum holders per lookup; more would not improve placement.
    static constexpr std::size_t MostHolders = 12;

    /// @param bytes size of the table; rounded down to a power-of-two number of sets, at least one
    explicit CacheView(std::size_t bytes);

    /// @brief Sets the engine's current incarnation; invalidates entries of earlier ones.
    void setIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now);
    /// @brief Removes the engine; invalidates all of its entries.
    void removeEngine(EngineKey engine);
    /// @brief Records that updates of the engine were lost, possibly evictions: entries received
    /// before now are reported as not trusted.
    void markUntrusted(EngineKey engine, TimePoint now);
    /// @brief Records that the engine cached the prefix. Ignored unless the incarnation is current.
    void stored(EngineKey engine, Incarnation incarnation, const ChainHash &hash, TimePoint now);
    void evicted(EngineKey engine, Incarnation incarnation, const ChainHash &hash);

    /// @brief Adds the holders of one cut; cuts must be passed in descending length.
    void addHolders(const PrefixCut &cut, TimePoint now, std::vector<PrefixHolder> &holders) const;
    /// @brief Returns up to @p most valid entries from position @p from on, for transfer to
    /// another node.
    [[nodiscard]] CacheEntryPage entries(std::size_t from, std::size_t most, TimePoint now) const;
    /// @brief Returns engines with their longest cached prefix, longest first; O(cuts).
    [[nodiscard]] std::vector<PrefixHolder> holders(const PrefixChain &chain, TimePoint now) const;

private:
    static constexpr std::size_t Ways = 16;

    struct Entry
    {
        ChainHash hash;
        std::uint32_t engine = 0;     ///< index into m_engines
        std::uint32_t generation = 0; ///< valid only if equal to the engine's; 0 is always invalid
        TimePoint updatedAt;
    };
    static_assert(sizeof(Entry) == EntryBytes);

    struct TrackedEngine
    {
        EngineKey key{};
        Incarnation incarnation{};
        std::uint32_t generation = 1;
        TimePoint trustedSince;
        bool present = false;
    };

    [[nodiscard]] Entry *setOf(const ChainHash &hash);
    [[nodiscard]] const Entry *setOf(const ChainHash &hash) const;
    [[nodiscard]] bool isValid(const Entry &entry) const;
    [[nodiscard]] const TrackedEngine *find(EngineKey engine) const;
    [[nodiscard]] Entry *slotFor(const ChainHash &hash, std::uint32_t engine);

    std::vector<Entry> m_entries;
    std::uint64_t m_mask;
    std::vector<TrackedEngine> m_engines;
    std::unordered_map<EngineKey, std::uint32_t> m_index;
};

} // namespace vanilladyke
