#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

/// What this node believes each engine to hold in its prefix cache.
///
/// Load pattern: prompts share long prefixes, and engines evict them within seconds. Without a
/// view a request goes to an engine that has to compute the whole prompt anew. The view is a
/// fixed table of 32-byte entries in sets of 16; a full set gives up an entry that no longer
/// counts, else the one learned longest ago, because an engine evicts in that order too. A wrong
/// entry costs time and never a wrong answer: the whole prompt is sent all the same.
namespace vanilladyke {

/// @brief A prefix up to some cut, and how old the news of it is.
struct KnownLength
{
    std::uint32_t tokens = 0;
    Duration age{};      ///< since it was learned
    bool trusted = true; ///< false if news of the engine got lost since
};

/// @brief An engine that is believed to hold a prefix.
///
/// The beginning of a prefix is asked for more often than its end, so the news of it is fresher.
/// Lengths stand longest first; a shorter one is given where its news is at most half as old.
struct PrefixHolder
{
    /// @brief Four halvings tell 16 s from 1 s; finer steps would not change a choice.
    static constexpr std::size_t MostLengths = 4;

    EngineKey engine{};
    Incarnation incarnation{};
    std::array<KnownLength, MostLengths> lengths{};
    std::size_t lengthCount = 0;

    /// @brief The longest prefix known there.
    [[nodiscard]] const KnownLength &longest() const { return lengths.front(); }
    /// @brief Takes in a shorter length, if its news is much fresher.
    void add(const KnownLength &shorter);
};

/// @brief One entry as another node takes it over.
struct CacheEntry
{
    EngineKey engine{};
    Incarnation incarnation{};
    ChainHash hash;
    Duration age{}; ///< since it was learned

    bool operator==(const CacheEntry &) const = default;
};

/// @brief Some entries of a view, and where the next ones start; 0 if there are none.
struct CachePiece
{
    std::vector<CacheEntry> entries;
    std::size_t next = 0;
};

/// @brief A bounded table of (engine, incarnation, prefix).
class CacheView
{
public:
    /// @brief Memory of one entry.
    static constexpr std::size_t EntryBytes = 32;
    /// @brief Holders that one lookup gives at most; more add no choice worth its time.
    static constexpr std::size_t MostHolders = 12;

    /// @param bytes memory of the table; rounded down to a power of two of sets, one at least
    explicit CacheView(std::size_t bytes);

    /// @brief The engine lives in this incarnation; what an earlier one held counts no more.
    void setIncarnation(EngineKey engine, Incarnation incarnation, TimePoint now);
    /// @brief The engine is gone; all of its entries count no more.
    void forget(EngineKey engine);
    /// @brief News of the engine got lost: an eviction may have been among them.
    void distrust(EngineKey engine, TimePoint now);
    /// @brief The engine holds the prefix. Ignored for an incarnation that isn't the present one.
    void stored(EngineKey engine, Incarnation incarnation, const ChainHash &hash, TimePoint now);
    void evicted(EngineKey engine, Incarnation incarnation, const ChainHash &hash);

    /// @brief Adds what is known of one cut, which is shorter than those added before.
    void addHolders(const PrefixCut &cut, TimePoint now, std::vector<PrefixHolder> &holders) const;
    /// @brief Engines with the longest prefix known of each, longest first; O(cuts).
    /// @brief Up to @p most entries that count, from place @p from on, for another node to take
    /// over.
    [[nodiscard]] CachePiece entries(std::size_t from, std::size_t most, TimePoint now) const;
    [[nodiscard]] std::vector<PrefixHolder> holders(const PrefixChain &chain, TimePoint now) const;

private:
    static constexpr std::size_t Ways = 16;

    struct Entry
    {
        ChainHash hash;
        std::uint32_t engine = 0; ///< index into m_engines
        std::uint32_t life = 0;   ///< counts only if it is the engine's; 0 is never one
        TimePoint learnedAt;
    };
    static_assert(sizeof(Entry) == EntryBytes);

    struct KnownEngine
    {
        EngineKey key{};
        Incarnation incarnation{};
        std::uint32_t life = 1;
        TimePoint trustedSince;
        bool present = false;
    };

    [[nodiscard]] Entry *setOf(const ChainHash &hash);
    [[nodiscard]] const Entry *setOf(const ChainHash &hash) const;
    [[nodiscard]] bool counts(const Entry &entry) const;
    [[nodiscard]] const KnownEngine *find(EngineKey engine) const;
    [[nodiscard]] Entry *place(const ChainHash &hash, std::uint32_t engine);

    std::vector<Entry> m_entries;
    std::uint64_t m_mask;
    std::vector<KnownEngine> m_engines;
    std::unordered_map<EngineKey, std::uint32_t> m_index;
};

} // namespace vanilladyke
