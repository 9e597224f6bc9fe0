#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// One cut of a prompt, as the X-Prefix-Chain header names it.
struct Cut
{
    std::string hash;
    std::uint32_t tokens = 0;
};

using Chain = std::vector<Cut>;

/// Reads "hash:tokens,hash:tokens"; throws std::invalid_argument on anything else.
[[nodiscard]] Chain parseChain(const std::string &text);

/// A prefix cache of limited size, least recently used out first, with its feed of events.
class PrefixCache
{
public:
    explicit PrefixCache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {}

    /// Tokens of the chain's longest stored prefix; marks it as used.
    std::uint32_t lookUp(const Chain &chain);
    void store(const Chain &chain);
    void evictAll();
    /// Loses the next events: their numbers are skipped, which a reader sees as a gap.
    void dropEvents(std::uint32_t count) { m_toDrop += count; }
    /// The events after a number that are older than the lag.
    [[nodiscard]] nlohmann::json events(std::uint64_t after, Milliseconds lag) const;

private:
    struct Entry
    {
        std::uint32_t ownTokens = 0;
        std::list<std::string>::iterator used;
    };

    struct Event
    {
        Clock::time_point at;
        std::uint64_t sequence = 0;
        bool stored = false;
        Cut cut;
    };

    void touch(const Chain &chain, std::size_t length);
    void evictOldest();
    void publish(bool stored, const Cut &cut);

    std::uint64_t m_capacity;
    std::uint64_t m_size = 0;
    std::list<std::string> m_order; ///< most recently used first
    std::unordered_map<std::string, Entry> m_entries;
    std::unordered_map<std::string, std::uint32_t> m_cumulative;
    std::deque<Event> m_events;
    std::uint64_t m_next = 1;
    std::uint32_t m_toDrop = 0;
};

} // namespace standin
