#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

/// What a node that follows a topic of the platform's store hands on to nodes that ask it.
///
/// Load pattern: 72 nodes that each read every heartbeat of 78 servers make ten thousand calls in
/// half a minute, and at 300 nodes and 3,000 servers decoding them takes most of a node. Nearly all
/// that they read changes nothing. A node that hands on what it read leaves the rest out.
namespace vanilladyke {

/// @brief The relay of one topic. Pure. Times are on a clock that counts suspension.
class RecordRelay
{
public:
    /// A node that asks is at most this many changes behind, or reads for itself.
    static constexpr std::size_t MostChanges = 2048;

    /// @brief A record and its offset in the topic.
    struct Change
    {
        std::uint64_t offset = 0;
        std::string record;
        std::string key; ///< empty: not known
    };
    /// @brief What one that knows all before an offset has to learn.
    struct News
    {
        std::uint64_t next = 0; ///< all before this offset is known with these changes
        Duration age{};         ///< of the proof that nothing follows
        std::vector<Change> changes;
    };

    /// @brief The topic was listed: what came before @p next is not known one by one.
    void restart(std::uint64_t next);
    /// @brief The topic was listed, and nobody needs to learn of keys that were removed: the newest
    /// record of each key, which follow by changed(), are all that there is to know.
    void restartWithAll(std::uint64_t next);
    /// @brief A record that changed what was known before it.
    /// @param key whose older record it replaces; empty: it replaces none
    void changed(std::uint64_t offset, std::string record, const std::string &key = {});
    /// @brief All before @p next was read.
    void readUpTo(std::uint64_t next) { m_next = next; }
    /// @brief Nothing but what was read had been written at that time.
    void proved(TimePoint at);
    /// @return none if this node can't tell: it knows too little, or it is more than @p mostBytes
    [[nodiscard]] std::optional<News> since(std::uint64_t offset, std::size_t mostBytes,
                                            TimePoint now) const;

private:
    std::deque<Change> m_changes;
    std::uint64_t m_first = 0; ///< from here on all changes are known one by one
    std::uint64_t m_next = 0;
    std::optional<TimePoint> m_provedAt;
};

} // namespace vanilladyke
