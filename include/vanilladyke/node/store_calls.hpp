#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/base/time.hpp"

#include <array>
#include <cstdint>
#include <string_view>

/// Counts this node's calls to the platform's store by kind, topic and cause.
///
/// Every call has a price and a share of what the store takes, whatever the number of nodes. A node
/// that calls more often than others, and why, shows in its metrics and in a line of its log.
namespace vanilladyke {

enum class StoreCall {
    List,   ///< the newest record of each key
    Read,   ///< records from an offset, answered at once
    Wait,   ///< the same, held until there is a record
    Append, ///< one record
};

enum class StoreTopic { Operator, Backends, Nodes, FleetKey, Lease };

/// @brief Why a node makes a call itself.
enum class CallCause {
    Start,            ///< it knows nothing yet
    Follow,           ///< from time to time
    ForOthers,        ///< other nodes ask it
    Alone,            ///< it hears of too few nodes to share
    OldProof,         ///< what the node that it asks proves is too old
    PeerCouldNotTell, ///< that node knows too little, or too much for an answer
    PeerKnowsMore,    ///< a call of its own was passed over
    Rollout,          ///< new weights are to be brought to engines
};

[[nodiscard]] std::string_view toString(StoreCall call);
[[nodiscard]] std::string_view toString(StoreTopic topic);
[[nodiscard]] std::string_view toString(CallCause cause);

/// @brief The counts of one node. Lives on the control thread.
class StoreCalls
{
public:
    static constexpr Duration LogEvery = std::chrono::seconds(10);

    explicit StoreCalls(Metrics &metrics)
        : m_metrics(metrics)
    {}

    void count(StoreCall call, StoreTopic topic, CallCause cause);
    /// @brief Writes a line of all counts if there were calls since the last one, and it is time.
    void log(TimePoint now);
    [[nodiscard]] std::uint64_t total() const { return m_total; }

private:
    static constexpr std::size_t Calls = 4;
    static constexpr std::size_t Topics = 5;
    static constexpr std::size_t Causes = 8;

    Metrics &m_metrics;
    std::array<std::array<std::array<std::uint64_t, Causes>, Topics>, Calls> m_counts{};
    std::uint64_t m_total = 0;
    std::uint64_t m_logged = 0;
    TimePoint m_nextLog;
};

} // namespace vanilladyke
