#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/gateway/conversation.hpp"
#include "vanilladyke/gateway/filters.hpp"

#include <memory>

namespace httplib {
struct Response;
}

namespace vanilladyke {

/// @brief Answers chat and plain completions, streamed or whole. Any thread.
class CompletionHandler
{
public:
    CompletionHandler(const FleetStore &fleet, Metrics &metrics);

    void operator()(RequestContext context, httplib::Response &response);

private:
    void stream(const std::shared_ptr<Conversation> &conversation, StreamFrame first,
                httplib::Response &response) const;
    void collect(Conversation &conversation, StreamFrame frame, httplib::Response &response) const;

    const FleetStore &m_fleet;
    Metrics &m_metrics;
    TrafficControl m_control;
    FilterChain<IdentifyCustomer, ParseCompletion, SetDeadline, CutPrefixes, Admit, Queue> m_chain;
};

} // namespace vanilladyke
