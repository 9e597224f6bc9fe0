#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/policy/stream_version.hpp"

#include <algorithm>

/// The part of Exchange that keeps a stream at the software version that began it.
namespace vanilladyke {

asio::awaitable<bool> Exchange::bindToOrigin()
{
    std::string_view source = "relay";
    m_software = m_request->relay ? m_request->relay->software : std::nullopt;
    const TimePoint begin = MonotonicClock::now();
    if (!m_software && !m_request->firstAttempt.empty()) {
        source = "own";
        m_software = m_state.origins.find(attemptKey(m_request->firstAttempt), begin);
    }
    OriginReport report;
    if (!m_software) {
        source = "peer";
        // A local variable: a temporary in an expression that awaits is destroyed twice by GCC 12.
        OriginQuery query{attemptKey(m_request->firstAttempt), !m_request->firstAttempt.empty(),
                          m_service};
        report = co_await m_state.askOrigin(std::move(query));
        m_software = report.software;
    }
    // A list that lacks the version that is known may only be old.
    const bool needsList = !m_software || !m_state.tracker.serves(m_service, *m_software);
    bool isListFresh = false;
    if (needsList) {
        isListFresh = co_await m_state.readBackends();
    }
    const TimePoint now = MonotonicClock::now();
    if (!m_software && m_state.isFresh()) {
        source = "only_version";
        m_software = onlyPossibleVersion(versionEvidence(report, isListFresh));
    }
    if (!m_software) {
        source = "none";
    } else if (!m_state.tracker.serves(m_service, *m_software)) {
        for (const ServiceShare &share : m_route->split) {
            const bool serves = m_state.tracker.serves(share.service, *m_software);
            m_service = serves && share.weight > 0 ? share.service : m_service;
        }
    }
    if (m_software && !m_request->relay && !m_request->firstAttempt.empty()) {
        // The caller may come back once more, later than its first attempt said.
        m_state.streamBegan(m_service,
                            {attemptKey(m_request->firstAttempt), *m_software, comesBackUntil()},
                            now);
    }
    const SoftwareView view = m_state.software.view(m_service, now);
    m_state.metrics.count("streams_taken_up_total{origin=\"" + std::string(source) + "\"}");
    m_state.metrics.observe("stream_origin_seconds", now - begin);
    LogEvent("stream_taken_up")
            .field("id", m_request->id)
            .field("first_attempt",
                   m_request->firstAttempt.empty() ? "none" : m_request->firstAttempt)
            .field("after_event", m_request->lastEventId)
            .field("origin", source)
            .field("software", m_software.value_or(0))
            .field("answers", report.answers)
            .field("said_only", report.saidOnly)
            .field("said_several", report.saidSeveral)
            .field("list_read", needsList)
            .field("list_fresh", isListFresh)
            .field("listed", view.listed)
            .field("possible", view.possible)
            .field("recorded", view.isRecorded)
            .field("list_age_ms", m_state.backendsAge())
            .field("config_age_ms", m_state.configAge())
            .field("watched_ms", view.watched)
            .field("needed_ms", view.needed)
            .field("left_ms", comesBackUntil() - now)
            .field("after_ms", now - begin);
    co_return m_software.has_value();
}

VersionEvidence Exchange::versionEvidence(const OriginReport &report, bool isListFresh) const
{
    VersionEvidence evidence;
    evidence.isListFresh = isListFresh;
    evidence.areSeveralKnown = report.saidSeveral > 0;
    evidence.own = m_state.software.onlyVersion(m_service, MonotonicClock::now());
    evidence.others = report.only;
    evidence.othersListedAt = report.onlyListedAt;
    evidence.isOthersAlone = report.only && m_state.software.isAlone(m_service, *report.only);
    evidence.watchedSince = m_state.software.watchedSince();
    return evidence;
}

TimePoint Exchange::comesBackUntil() const
{
    return m_request->deadline.value_or(m_request->arrived + StreamOrigins::MaxLifetime);
}

asio::awaitable<void> Exchange::bindToServer(BackendTryPtr attempt)
{
    if (m_isOriginRecorded) {
        co_return;
    }
    m_isOriginRecorded = true;
    if (!m_software) {
        m_software = attempt->isRelay() ? attempt->head().software
                                        : softwareKey(attempt->choice().backend.software);
    }
    if (!m_software) { // handed on by a node of an older build
        const bool isListFresh = co_await m_state.readBackends();
        m_software = onlyPossibleVersion(versionEvidence({}, isListFresh));
    }
    const TimePoint now = MonotonicClock::now();
    if (m_software) {
        m_state.streamBegan(m_service, {attemptKey(m_request->id), *m_software, comesBackUntil()},
                            now);
    }
}

bool Exchange::hasOtherSoftware(const BackendTry &attempt) const
{
    if (!m_software) {
        return false;
    }
    const bool isSuccess = attempt.head().status >= 200 && attempt.head().status < 300;
    return isSuccess
           && (attempt.isRelay() ? attempt.head().software != m_software
                                 : softwareKey(attempt.choice().backend.software) != *m_software);
}

bool Exchange::isVersionGone() const
{
    return m_software && !m_state.tracker.serves(m_service, *m_software);
}

} // namespace vanilladyke
