#include "vanilladyke/policy/service_reach.hpp"

#include <algorithm>

namespace vanilladyke {

std::string_view toString(Reach reach)
{
    switch (reach) {
    case Reach::All:
        return "all";
    case Reach::Few:
        return "few";
    case Reach::None:
        return "none";
    }
    return "unknown";
}

void ServiceReach::expire(State &state, TimePoint now)
{
    std::erase_if(state.failedAt,
                  [now](const auto &item) { return now - item.second > FailureLifetime; });
    std::erase_if(state.streak,
                  [&state](const EngineId &server) { return !state.failedAt.contains(server); });
    if (state.streak.empty()) {
        state.streakFailures = 0;
    }
}

bool ServiceReach::connected(const ServiceId &service, const EngineId &server, std::size_t known,
                             TimePoint now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return false;
    }
    State &state = found->second;
    const Reach before = reach(service, now);
    state.known = known;
    state.failedAt.erase(server);
    state.streak.clear();
    state.streakFailures = 0;
    if (state.isUnreached) {
        state.returned.insert(server);
        state.isUnreached = state.returned.size() < std::min(ServersToReturn, known);
    }
    return reach(service, now) != before;
}

bool ServiceReach::connectFailed(const ServiceId &service, const EngineId &server,
                                 std::size_t known, TimePoint now)
{
    State &state = m_services[service];
    const Reach before = reach(service, now);
    expire(state, now);
    state.known = known;
    state.failedAt[server] = now;
    state.returned.erase(server);
    state.streak.insert(server);
    ++state.streakFailures;
    const bool haveEnoughFailed = state.streak.size() >= std::min(EnoughServers, known)
                                  && state.streakFailures >= MinFailures;
    if (!state.isUnreached && haveEnoughFailed) {
        state.isUnreached = true;
        state.returned.clear();
    }
    return reach(service, now) != before;
}

Reach ServiceReach::reach(const ServiceId &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return Reach::All;
    }
    if (found->second.isUnreached) {
        return Reach::None;
    }
    const std::size_t lost = failed(service, now);
    return lost >= MinFailures && 2 * lost >= found->second.known ? Reach::Few : Reach::All;
}

bool ServiceReach::isDoubtful(const ServiceId &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    return found != m_services.end()
           && (found->second.isUnreached || failed(service, now) >= MinFailures);
}

bool ServiceReach::hasFailed(const ServiceId &service, const EngineId &server, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return false;
    }
    const auto failure = found->second.failedAt.find(server);
    return failure != found->second.failedAt.end() && now - failure->second <= FailureLifetime;
}

std::vector<ServiceId> ServiceReach::unreached() const
{
    std::vector<ServiceId> result;
    for (const auto &[service, state] : m_services) {
        if (state.isUnreached) {
            result.push_back(service);
        }
    }
    return result;
}

std::size_t ServiceReach::failed(const ServiceId &service, TimePoint now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end()) {
        return 0;
    }
    const auto isRecent = [now](const auto &item) { return now - item.second <= FailureLifetime; };
    return static_cast<std::size_t>(
            std::count_if(found->second.failedAt.begin(), found->second.failedAt.end(), isRecent));
}

} // namespace vanilladyke
