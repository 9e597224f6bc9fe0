#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/model/ids.hpp"

#include <memory>

namespace vanilladyke {

class ClaimDesk;

/// @brief Serves callers over HTTP: completions, streamed or whole, and plain services.
class CallerServer
{
public:
    /// @param claims null if this node has no log
    CallerServer(const FleetStore &fleet, Metrics &metrics, ClaimDesk *claims);
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;
    ~CallerServer();

    /// @brief Takes the address. @return false if it is not to be had
    [[nodiscard]] bool bind(const Endpoint &endpoint);
    /// @brief Serves until stop(); returns when the last request has ended.
    void run();
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
