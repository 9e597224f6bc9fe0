#pragma once

#include "vanilladyke/policy/record_relay.hpp"

/// How far this node has followed a topic of the store, whichever source its records come from.
namespace vanilladyke {

/// @brief State of one followed topic. Times are on BootClock.
struct FollowedTopic
{
    /// @brief Another node has answered a request. If its answer lacks this topic, the store has to
    /// be read.
    /// @param requestedAt when the request was sent
    void answered(const std::optional<RecordRelay::Updates> &updates, TimePoint requestedAt);

    RecordRelay relay;
    std::uint64_t next = 0; ///< offset up to which the topic was read
    bool isListed = false;
    std::uint64_t listings = 0; ///< whole lists that were read
    std::uint64_t era = 0;  ///< of the store in which the topic was listed; `next` holds in it only
    bool mustRead = false;  ///< the reader's answer lacked this topic
    bool isReading = false; ///< this node's own call is pending
    TimePoint provedAt = TimePoint::min(); ///< of the last freshness proof
};

} // namespace vanilladyke
