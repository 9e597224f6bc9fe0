#include "vanilladyke/control/host_list_poller.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/policy/back_off.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>

namespace vanilladyke {

namespace {

/// A leaving backend server must get no new work later than two seconds after the list shows it.
constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr Duration AnswerTimeout = std::chrono::milliseconds(700);

} // namespace

std::vector<EngineId> newlyLeaving(const std::vector<ListedHost> &hosts, const Fleet &fleet)
{
    std::set<Endpoint> leaving;
    for (const ListedHost &host : hosts) {
        if (host.leaving) {
            leaving.insert(host.endpoint);
        }
    }
    std::vector<EngineId> engines;
    for (const EngineView &engine : fleet.engines) {
        const bool mayGetWork =
                engine.state != EngineState::Leaving && engine.state != EngineState::Dead;
        if (mayGetWork && leaving.contains(engine.endpoint)) {
            engines.push_back(engine.id);
        }
    }
    return engines;
}

HostListPoller::HostListPoller(const Endpoint &hosts, const FleetStore &fleet, Inbox &inbox)
    : m_client(hosts)
    , m_fleet(fleet)
    , m_inbox(inbox)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{}

void HostListPoller::run(const std::stop_token &stop)
{
    Random random(entropySeed());
    BackOff backOff;
    std::mutex mutex;
    std::condition_variable_any wake;
    while (!stop.stop_requested()) {
        const auto hosts = m_client.read(MonotonicClock::now() + AnswerTimeout);
        TimePoint next = MonotonicClock::now() + PollInterval;
        if (hosts) {
            backOff.succeeded();
            for (const EngineId &engine : newlyLeaving(*hosts, *m_fleet.current())) {
                m_inbox.post(EngineLeaving{engine});
            }
        } else {
            if (!backOff.down()) {
                LogEvent("host_list_down", Severity::Warning).field("reason", hosts.error());
            }
            backOff.failed(MonotonicClock::now(), random);
            next = backOff.retryAt();
        }
        std::unique_lock lock(mutex);
        wake.wait_until(lock, stop, next, [] { return false; });
    }
}

} // namespace vanilladyke
