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

/// @brief The host's settings that a caller server uses.
struct CallerServerOptions
{
    std::string certificate; ///< PEM file; empty: no TLS for callers
    std::string privateKey;  ///< PEM file of the certificate's private key
    BackendTls backends;
    std::string streamKey; ///< 64 hexadecimal digits, the same on all nodes; empty: a random key
    ClaimClient *claims = nullptr; ///< null if this node has no log
};

/// @brief Serves callers over HTTP: streamed and unstreamed completions, and plain services.
class CallerServer
{
public:
    CallerServer(const NodeState &node, Metrics &metrics, const CallerServerOptions &options);
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;
    ~CallerServer();

    /// @brief Whether the TLS files are usable. Call this before any other member.
    [[nodiscard]] bool tlsUsable() const;
    /// @brief Binds the address. @return false if it can't be bound
    [[nodiscard]] bool bind(const Endpoint &endpoint);
    /// @brief Serves until stop().
    void run();

    // A graceful shutdown calls these in this order.

    /// @brief Reports the node as not ready to the load balancer; new requests are still served.
    void beginDrain();
    /// @brief Refuses new requests, in case the load balancer keeps sending them.
    void refuseNew();
    /// @brief Waits until every request is fully answered. @return false at the deadline
    [[nodiscard]] bool waitUntilIdle(TimePoint deadline);
    /// @brief Ends every open stream with an error that states whether the request may have run.
    void abortStreams();
    /// @brief Closes the port and all open connections.
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
