#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace vanilladyke {

/// @brief Polls every engine of the bundle for its state and cache events, and posts the answers.
///
/// Each engine is polled on its own thread, so that one that hangs does not delay the others.
class EnginePoller
{
public:
    EnginePoller(const FleetStore &fleet, Inbox &inbox, BackendTls tls = {});
    EnginePoller(const EnginePoller &) = delete;
    EnginePoller &operator=(const EnginePoller &) = delete;
    ~EnginePoller();

private:
    void supervise(const std::stop_token &stop);
    void poll(const std::stop_token &stop, const EngineEntry &entry);
    void pause(const std::stop_token &stop, TimePoint until);

    const FleetStore &m_fleet;
    Inbox &m_inbox;
    const BackendTls m_tls;
    std::mutex m_mutex;
    std::condition_variable_any m_wake;
    std::map<EngineId, std::jthread> m_pollers;
    std::jthread m_supervisor;
};

} // namespace vanilladyke
