#include "vanilladyke/gateway/shared_request_quarantine.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/random.hpp"

namespace vanilladyke {

namespace {

/// Identifies one incarnation of an engine.
std::uint64_t incarnationHash(const EngineView &engine)
{
    const auto incarnation = static_cast<std::uint64_t>(engine.incarnation);
    return hashOfName(engine.id.str() + "/" + std::to_string(incarnation));
}

std::uint64_t hashOf(const CustomerId &customer)
{
    return hashOfName(customer.str());
}

} // namespace

SharedRequestQuarantine::SharedRequestQuarantine()
{
    std::string key;
    for (int i = 0; i < 4; ++i) {
        key += std::to_string(entropySeed()) + "/";
    }
    m_digester.setKey(key);
}

WorkDigest SharedRequestQuarantine::digestOf(const RequestContext &context) const
{
    return m_digester.digest({context.customer.str(), "POST", "", context.path, context.body});
}

std::optional<TimePoint> SharedRequestQuarantine::heldUntil(const RequestContext &context,
                                                            TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const bool mayBeHeld = m_quarantine.hasEvidence(hashOf(context.customer));
    return mayBeHeld ? m_quarantine.heldUntil(digestOf(context), now) : std::nullopt;
}

void SharedRequestQuarantine::recordTermination(const RequestContext &context,
                                                const EngineView &engine,
                                                const ConnectionLoss &connectionLoss)
{
    const WorkDigest digest = digestOf(context);
    const std::lock_guard lock(m_mutex);
    const bool isHeld = m_quarantine.recordTermination(
            digest, hashOf(context.customer),
            {incarnationHash(engine), connectionLoss.at, connectionLoss.hadJustBegun});
    LogEvent("engine_ended_under_request", Severity::Warning)
            .field("request", context.id.str())
            .field("engine", engine.id.str())
            .field("digest", digest.str())
            .field("just_begun", connectionLoss.hadJustBegun)
            .field("engines_ended", m_quarantine.terminationsUnder(digest))
            .field("held", isHeld);
}

void SharedRequestQuarantine::recordAnswer(const RequestContext &context, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool mayBeSuspect = m_quarantine.hasEvidence(hashOf(context.customer));
    if (mayBeSuspect && m_quarantine.recordAnswer(digestOf(context), now)) {
        LogEvent("request_cleared").field("request", context.id.str());
    }
}

} // namespace vanilladyke
