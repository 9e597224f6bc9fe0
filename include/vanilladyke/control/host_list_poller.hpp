#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/platform/host_list.hpp"

#include <thread>

namespace vanilladyke {

/// @brief Engines of the fleet that the list shows as leaving and that may still get work.
[[nodiscard]] std::vector<EngineId> newlyLeaving(const std::vector<ListedHost> &hosts,
                                                 const Fleet &fleet);

/// @brief Reads the host list over and over, on a thread of its own, and posts which engines are
/// leaving. While the list is down nothing changes.
class HostListPoller
{
public:
    HostListPoller(const Endpoint &hosts, const FleetStore &fleet, Inbox &inbox);

private:
    void run(const std::stop_token &stop);

    HostListClient m_client;
    const FleetStore &m_fleet;
    Inbox &m_inbox;
    std::jthread m_thread;
};

} // namespace vanilladyke
