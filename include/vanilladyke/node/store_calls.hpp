#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/base/time.hpp"

#include <array>
#include <cstdint>
#include <string_view>

/// Counts this node's calls to the platform's store by kind, topic and cause.
///
/// Each call is billed and uses a part of the store's capacity, which doesn't grow with the number
/// of nodes. The metrics and a log line show a node that calls more often than others, and why.
namespace vanilladyke {

enum class StoreCall {
    List,   ///< the newest record of each key
    Read,   ///< records from an offset, answered at once
    Wait,   ///< like Read, held until there is a record
    Append, ///< one record
};

enum class StoreTopic { Operator, Backends, Nodes, FleetKey, Lease, Software };

/// @brief Why a node calls the store itself.
enum class CallCause {
    Start,            ///< the node has no state yet
    Follow,           ///< periodic call
    ForOthers,        ///< the node reads for other nodes
    Alone,            ///< too few other nodes to share reads
    OldProof,         ///< the reader's freshness proof is too old
    PeerCouldNotTell, ///< the reader lacks the topic, or the answer is too large
    PeerKnowsMore,    ///< another node has read further; an own call was missed
    Rollout,          ///< new weights are being rolled out
    Versions,         ///< software versions of a service have changed
};

[[nodiscard]] std::string_view toString(StoreCall call);
[[nodiscard]] std::string_view toString(StoreTopic topic);
[[nodiscard]] std::string_view toString(CallCause cause);

/// @brief The counters of one node. Runs on the control thread.
class StoreCalls
{
public:
    static constexpr Duration LogInterval = std::chrono::seconds(10);

    explicit StoreCalls(Metrics &metrics)
        : m_metrics(metrics)
    {}

    void count(StoreCall call, StoreTopic topic, CallCause cause);
    /// @brief Logs all counters if LogInterval has passed and there were calls since the last line.
    void log(TimePoint now);
    [[nodiscard]] std::uint64_t total() const { return m_total; }

private:
    static constexpr std::size_t Calls = 4;
    static constexpr std::size_t Topics = 6;
    static constexpr std::size_t Causes = 9;

    Metrics &m_metrics;
    std::array<std::array<std::array<std::uint64_t, Causes>, Topics>, Calls> m_counts{};
    std::uint64_t m_total = 0;
    std::uint64_t m_logged = 0;
    TimePoint m_nextLog;
};

} // namespace vanilladyke
