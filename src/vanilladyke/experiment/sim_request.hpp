#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/prefix_chain.hpp"

#include <cstdint>

namespace vanilladyke {

/// @brief One request of a trace.
struct SimRequest
{
    TimePoint arrivesAt;
    std::size_t node = 0; ///< the node that the balancer gives it to
    std::size_t customer = 0;
    CustomerId customerId;
    PrefixChain chain;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint32_t novelTokens = 0; ///< that no earlier request of the trace had
    TimePoint firstTokenDeadline;
};

} // namespace vanilladyke
