#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

/// The part of Exchange that counts ends of engines against requests and their parts; see
/// request_quarantine.hpp.
namespace vanilladyke {

asio::awaitable<void> Exchange::recordEngineEnd(BackendTryPtr attempt)
{
    const TimePoint now = MonotonicClock::now();
    const EngineId engine = attempt->choice().backend.id;
    // A brittle engine falls over under the number of requests, whichever it runs.
    const bool shouldCheck = !m_state.tracker.isBrittle(engine)
                             && m_state.settings.quarantinesRequests && m_state.digester.isReady()
                             && m_state.tracker.contains(engine)
                             && !m_state.livenessProbe.hadEndedBefore(engine, *attempt->sentAt());
    if (!shouldCheck) {
        co_return;
    }
    const auto begun = attempt->beganAt();
    const bool hadJustBegun = !begun || now - *begun < RequestQuarantine::JustBegun;
    attempt->engineEnded =
            co_await m_state.livenessProbe.hasEnded(engine, attempt->choice().backend.endpoint);
    if (!attempt->engineEnded) {
        co_return;
    }
    // Cut off from all servers, this node would blame the request for the end of each of them.
    const bool hasEndedAlone = co_await m_state.reach.reachesAnother(engine, now);
    if (!hasEndedAlone) {
        m_state.metrics.count("engine_ends_unproven_total");
        co_return;
    }
    const WorkDigest name = *digest();
    const EngineTermination engineEnd{BackendTracker::hashOf(engine), now, hadJustBegun, name.low,
                                      attempt->sentAt()};
    m_state.metrics.count("engine_ends_under_requests_total");
    for (const WorkDigest &part : partDigests()) {
        static_cast<void>(
                m_state.quarantine.recordPartTermination(part, customerHash(), engineEnd));
    }
    if (m_state.quarantine.recordTermination(name, customerHash(), engineEnd)) {
        withdrawQuarantined(m_state, name);
    }
    for (const WorkDigest &part : partDigests()) {
        if (m_state.quarantine.isCulprit(part)) {
            withdrawQuarantined(m_state, part);
        }
    }
    m_state.notifyPeers();
}

void Exchange::withdrawQuarantined(TrafficState &state, const WorkDigest &quarantined)
{
    int withdrawn = 0;
    for (Exchange *const each : *state.openExchanges) {
        if (!each->isWork(quarantined)) {
            continue;
        }
        for (const BackendTryPtr &attempt : each->openTries()) {
            // An answer that has arrived is delivered: its engine has outlived the request.
            if (attempt->isWaiting() && !attempt->hasUnreadData()) {
                attempt->abort(AbortReason::Quarantined);
                ++withdrawn;
            }
        }
    }
    state.metrics.count("requests_quarantined_total");
    LogEvent("request_quarantined", Severity::Warning)
            .field("digest", quarantined.str())
            .field("part", state.quarantine.isCulprit(quarantined))
            .field("engines_ended", state.quarantine.terminationsUnder(quarantined))
            .field("withdrawn", withdrawn)
            .field("held", state.quarantine.held(MonotonicClock::now()))
            .field("suspected", state.quarantine.size());
}

bool Exchange::isWork(const WorkDigest &quarantined) const
{
    // Requests with a part that is only suspected go on: most such parts are sound, and a whole
    // answer frees them.
    if (m_state.quarantine.isCulprit(quarantined)) {
        const std::vector<WorkDigest> &parts = partDigests();
        return std::find(parts.begin(), parts.end(), quarantined) != parts.end();
    }
    return m_state.quarantine.hasEvidence(customerHash()) && digest() == quarantined;
}

std::optional<TimePoint> Exchange::heldUntil(TimePoint now) const
{
    if (!m_state.settings.quarantinesRequests || !m_state.digester.isReady()) {
        return std::nullopt;
    }
    std::optional<TimePoint> held;
    if (m_state.quarantine.hasEvidence(customerHash())) {
        held = m_state.quarantine.heldUntil(*digest(), now);
    }
    if (m_state.quarantine.hasPartEvidence()) {
        for (const WorkDigest &part : partDigests()) {
            const auto until = m_state.quarantine.heldUntil(part, now);
            held = until ? std::max(held.value_or(*until), *until) : held;
        }
    }
    return held;
}

void Exchange::recordCompleteAnswer(bool isDelivered)
{
    if (!m_state.digester.isReady()) {
        return;
    }
    // An engine's error says nothing of the part: it may not have begun to write on it.
    for (const WorkDigest &part : isDelivered ? partDigests() : std::vector<WorkDigest>()) {
        if (m_state.quarantine.recordPartAnswer(part, MonotonicClock::now())) {
            LogEvent("part_cleared").field("id", m_request->id).field("digest", part.str());
            m_state.notifyPeers();
        }
    }
    const bool mayBeSuspected = m_state.quarantine.hasEvidence(customerHash());
    if (!mayBeSuspected || !m_state.quarantine.recordAnswer(*digest(), MonotonicClock::now())) {
        return;
    }
    LogEvent("request_cleared").field("id", m_request->id).field("digest", digest()->str());
    m_state.notifyPeers();
}

} // namespace vanilladyke
