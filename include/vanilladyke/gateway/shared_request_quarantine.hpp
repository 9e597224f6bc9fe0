#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/policy/request_quarantine.hpp"

#include <mutex>

/// Requests that were running when an engine terminated, for all conversations of this node.
namespace vanilladyke {

/// @brief A connection lost to an engine during one conversation.
struct ConnectionLoss
{
    TimePoint at;
    bool hadJustBegun = false;
};

/// @brief RequestQuarantine behind a lock. Thread-safe.
class SharedRequestQuarantine
{
public:
    SharedRequestQuarantine();

    /// @brief When the request's quarantine ends; none if it is not quarantined.
    [[nodiscard]] std::optional<TimePoint> heldUntil(const RequestContext &context,
                                                     TimePoint now) const;
    void recordTermination(const RequestContext &context, const EngineView &engine,
                           const ConnectionLoss &connectionLoss);
    /// @brief Records that the caller received the complete answer.
    void recordAnswer(const RequestContext &context, TimePoint now);

private:
    [[nodiscard]] WorkDigest digestOf(const RequestContext &context) const;

    mutable std::mutex m_mutex;
    WorkDigester m_digester;
    RequestQuarantine m_quarantine;
};

} // namespace vanilladyke
