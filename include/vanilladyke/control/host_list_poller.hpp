#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/platform/host_list.hpp"

#include <thread>

namespace vanilladyke {

/// @brief Engines of the fleet that are marked as leaving in the list and may still get work.
[[nodiscard]] std::vector<EngineId> newlyLeaving(const std::vector<ListedHost> &hosts,
                                                 const Fleet &fleet);

/// @brief Polls the host list on its own thread, and posts an EngineLeaving for each engine that
/// newly leaves. While the list is unavailable it posts nothing.
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
