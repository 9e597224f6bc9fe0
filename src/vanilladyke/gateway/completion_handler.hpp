#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/gateway/conversation.hpp"
#include "vanilladyke/gateway/event_id.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/gateway/reader_threads.hpp"
#include "vanilladyke/gateway/stream_canceller.hpp"
#include "vanilladyke/gateway/traffic_control.hpp"

#include <atomic>
#include <memory>

namespace httplib {
struct Response;
}

namespace vanilladyke {

/// @brief Answers chat and plain completions, streamed or not. Thread-safe.
class CompletionHandler
{
public:
    CompletionHandler(const NodeState &node, Metrics &metrics, const EventKey &eventKey,
                      BackendTls tls);

    void operator()(RequestContext context, httplib::Response &response);
    /// @brief Ends every conversation with an error that states whether the request may have run.
    void abortStreams();

private:
    void stream(const std::shared_ptr<Conversation> &conversation, StreamFrame first,
                httplib::Response &response) const;
    void collect(Conversation &conversation, StreamFrame frame, httplib::Response &response) const;

    [[nodiscard]] std::optional<Refusal> findResumePosition(RequestContext &context) const;

    Metrics &m_metrics;
    EventSigner m_signer;
    const BackendTls m_tls;
    ReaderThreads m_threads;
    StreamCanceller m_canceller;
    std::atomic<bool> m_aborting{false};
    TrafficControl m_control;
    ConversationEnvironment m_environment;
    FilterChain<IdentifyCustomer, ParseCompletion, SetDeadline, CutPrefixes, Admit, Queue> m_chain;
};

} // namespace vanilladyke
