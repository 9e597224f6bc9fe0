#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

/// Buffers the changes in a topic of the platform's store for nodes that query this node instead.
///
/// Load pattern: 72 nodes that each read every heartbeat of 78 servers make ten thousand calls in
/// half a minute, and at 300 nodes and 3,000 servers decoding them takes most of a node's processor
/// time. Nearly all of these records change nothing; the relay returns only those that do.
namespace vanilladyke {

/// @brief The relay of one topic. Pure: performs no I/O. Times are on a clock that counts
/// suspension.
class RecordRelay
{
public:
    /// Capacity. A node that is more changes behind has to read the store itself.
    static constexpr std::size_t MaxChanges = 2048;

    /// @brief A record and its offset in the topic.
    struct Change
    {
        std::uint64_t offset = 0;
        std::string record;
        std::string key; ///< empty if unknown
    };
    /// @brief The changes since an offset.
    struct Updates
    {
        std::uint64_t next = 0; ///< with these changes, all before this offset is covered
        Duration age{};         ///< of the freshness proof: no later records existed then
        std::vector<Change> changes;
        std::uint64_t era = 0; ///< of the store, in which these offsets hold
    };

    /// @brief The topic was listed: the single changes before @p next are unknown.
    /// @param era of the store; a proof of another era says nothing of these offsets
    void restart(std::uint64_t next, std::uint64_t era = 0);
    /// @brief The topic was listed, and removals of keys are irrelevant to the readers: the newest
    /// record of each key, passed to addChange() after this call, is the complete state.
    void restartWithListing(std::uint64_t next, std::uint64_t era = 0);
    /// @brief Adds a record that changed the state of the topic.
    /// @param key the record replaces an older one with this key; empty: it replaces none
    void addChange(std::uint64_t offset, std::string record, const std::string &key = {});
    /// @brief Records that all before @p next was read.
    void readUpTo(std::uint64_t next) { m_next = next; }
    /// @brief Adds a freshness proof: at that time no later records than those read existed.
    void addFreshnessProof(TimePoint at);
    /// @brief The changes from an offset on.
    /// @return none if the buffered changes don't reach back to @p offset, there is no freshness
    /// proof, or the changes exceed @p maxBytes
    [[nodiscard]] std::optional<Updates> changesSince(std::uint64_t offset, std::size_t maxBytes,
                                                      TimePoint now) const;

private:
    std::deque<Change> m_changes;
    std::uint64_t m_first = 0; ///< from here on, all single changes are known
    std::uint64_t m_next = 0;
    std::uint64_t m_era = 0;
    std::optional<TimePoint> m_provedFreshAt;
};

} // namespace vanilladyke
