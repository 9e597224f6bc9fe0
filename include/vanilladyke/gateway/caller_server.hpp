#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/control/node_state.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <memory>
#include <string>

namespace vanilladyke {

class ClaimClient;

/// @brief What a caller server takes from the host's settings.
struct CallerServerOptions
{
    std::string certificate; ///< PEM file; empty: callers are served without TLS
    std::string privateKey;  ///< PEM file that belongs to the certificate
    BackendTls backends;
    std::string streamKey; ///< 64 hexadecimal digits, the same on all nodes; empty: one of its own
    ClaimClient *claims = nullptr; ///< null if this node has no log
};

/// @brief Serves callers over HTTP: completions, streamed or whole, and plain services.
class CallerServer
{
public:
    CallerServer(const NodeState &node, Metrics &metrics, const CallerServerOptions &options);
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;
    ~CallerServer();

    /// @brief Whether the TLS files are usable; to be asked before all else.
    [[nodiscard]] bool tlsUsable() const;
    /// @brief Takes the address. @return false if it is not to be had
    [[nodiscard]] bool bind(const Endpoint &endpoint);
    /// @brief Serves until stop().
    void run();

    // A graceful shutdown takes these steps in this order.

    /// @brief Tells the balancer to send no more; what it still sends is served.
    void leave();
    /// @brief Refuses new requests, for a balancer that goes on sending for longer than it should.
    void refuseNew();
    /// @brief Waits until every request has its whole answer. @return false at the deadline
    [[nodiscard]] bool waitUntilIdle(TimePoint deadline);
    /// @brief Ends every stream under way with a truthful error.
    void hurry();
    /// @brief Closes the port and what is still open.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
