#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/policy/request_quarantine.hpp"

#include <mutex>

/// The requests under which engines ended, for all conversations of this node.
namespace vanilladyke {

/// @brief What one conversation knows of an engine that broke off.
struct BrokenOff
{
    TimePoint at;
    bool hadJustBegun = false;
};

/// @brief RequestQuarantine behind a lock; see there. Any thread.
class QuarantineDesk
{
public:
    QuarantineDesk();

    /// @brief Until when the request is sent to no engine; none if it may be sent.
    [[nodiscard]] std::optional<TimePoint> heldUntil(const RequestContext &context,
                                                     TimePoint now) const;
    void engineEnded(const RequestContext &context, const EngineView &engine,
                     const BrokenOff &brokenOff);
    /// @brief The caller got the whole answer.
    void answered(const RequestContext &context, TimePoint now);

private:
    [[nodiscard]] WorkDigest digestOf(const RequestContext &context) const;

    mutable std::mutex m_mutex;
    WorkDigester m_digester;
    RequestQuarantine m_quarantine;
};

} // namespace vanilladyke
