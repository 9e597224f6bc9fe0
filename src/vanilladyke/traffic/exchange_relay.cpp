#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/traffic/relay_seal.hpp"

#include <algorithm>

/// The part of Exchange that hands requests to other nodes where this node does not reach the
/// servers of a service.
namespace vanilladyke {

namespace {

/// A request that waits so long at a server without any answer of that server has the server
/// checked.
constexpr Duration SuspectAfter = std::chrono::milliseconds(350);
/// Servers on which another node may run a request that is handed to it, so that what is handed on
/// is one run wherever it is counted.
constexpr int ServersPerHandOver = 1;

} // namespace

std::optional<BackendChoice> Exchange::chooseRelay(TimePoint now)
{
    // One hop: a request that another node handed on stays here.
    const bool isAllowed = m_state.settings.relaysRequests && !m_request->relay
                           && !isBoundToLeftServers() && m_state.digester.isReady();
    if (!isAllowed) {
        return std::nullopt;
    }
    const auto relay = m_state.relays.choose(m_service, m_triedRelays, m_state.random, now);
    if (!relay) {
        return std::nullopt;
    }
    BackendChoice choice;
    choice.isRelay = true;
    choice.backend.id = relayId(relay->endpoint);
    choice.backend.service = m_service;
    choice.backend.endpoint = relay->endpoint;
    choice.chosenAt = now;
    choice.urgency = urgency();
    return choice;
}

tl::expected<BackendChoice, NoBackend> Exchange::chooseTarget(TimePoint now)
{
    const Reach reach = m_state.reach.reach(m_service, now);
    m_isCutOff = false;
    if (reach == Reach::None) {
        if (const auto relay = chooseRelay(now)) {
            return *relay;
        }
        if (m_request->relay || !m_state.reach.hasRecentAnswer(m_service, now)) {
            m_isCutOff = true;
            return tl::make_unexpected(NoBackend{true, now + RelayNodes::FailurePause});
        }
    }
    auto choice = m_state.tracker.choose(query(), now);
    if (reach == Reach::Few && (!choice || retryTimeIfTooLate(*choice, now))) {
        if (const auto relay = chooseRelay(now)) {
            return *relay;
        }
    }
    return choice;
}

RelayOptions Exchange::relayOptions() const
{
    RelayOptions options;
    options.deadline = m_deadline;
    options.key = m_request->key;
    options.resumeAfter = m_resumeAfter;
    // A node that ends or stays silent doesn't say how many servers it has used.
    options.terms.mostServers = ServersPerHandOver;
    options.terms.software = m_software;
    options.terms.seal =
            relaySeal(m_state.digester, *m_request, m_resumeAfter, options.terms).str();
    return options;
}

void Exchange::finishRelay(const BackendTry &attempt, TryResult end, TimePoint now)
{
    const Endpoint &relay = attempt.choice().backend.endpoint;
    m_state.relays.ended(relay);
    m_state.metrics.count("relayed_requests_total{end=\"" + std::string(toString(end)) + "\"}");
    const bool brokeOff = end == TryResult::Lost || end == TryResult::Interrupted;
    // An error that the other node answers with is of its server: that node goes on to serve.
    const bool hasAnswered = attempt.head().status >= 500;
    if (brokeOff && !hasAnswered && !attempt.isAborted() && !m_callerDisconnected) {
        m_state.relays.failed(relay, now);
    }
}

void Exchange::hedgeCutOff(TrafficState &state, TimePoint now)
{
    for (Exchange *const each : *state.openExchanges) {
        const bool waits = each->m_current != nullptr && each->m_current->isWaiting()
                           && !each->m_current->isRelay() && each->isRepeatable();
        if (waits && state.reach.reach(each->m_service, now) == Reach::None
            && !state.reach.hasRecentAnswer(each->m_service, now)) {
            each->setAnswerDeadline(now);
        }
    }
}

void Exchange::suspectSilentServers(TrafficState &state, TimePoint now)
{
    for (const Exchange *const each : *state.openExchanges) {
        for (const BackendTryPtr &attempt : each->openTries()) {
            if (!attempt->isRelay() && attempt->isWaiting()
                && now - *attempt->sentAt() >= SuspectAfter) {
                state.reach.suspect(attempt->choice().backend.id, *attempt->sentAt(), now);
            }
        }
    }
}

} // namespace vanilladyke
