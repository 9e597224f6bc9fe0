#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/operators/publisher.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP interface for operators, served on a separate address:
///   POST /operator/v1/bundles   publish a signed bundle
///   GET  /operator/v1/status    bundle version and phase of each node, state of the log
///   GET  /operator/v1/history   accepted bundles, oldest first
///   GET  /operator/v1/bundle    the current bundle as signed
///   GET  /operator/v1/state     this node's view of the fleet
///   GET  /metrics, /healthz, /readyz   no key required
namespace vanilladyke {

/// @brief Credentials of an operator.
struct OperatorKey
{
    std::string id;
    std::string digest; ///< BLAKE2b-256 of the bearer key, hexadecimal
};

/// @brief Dependencies and settings of the operator interface.
struct OperatorContext
{
    NodeId node;
    std::vector<OperatorKey> keys;
    PublishSettings publishing;
    const FleetStore &fleet;
    const BundleStatusStore &board;
    const Metrics &metrics;
    std::function<std::string()> stateDump; ///< JSON; may be empty
};

/// @brief HTTP server of the operator interface.
class OperatorServer
{
public:
    explicit OperatorServer(OperatorContext context);
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;
    ~OperatorServer();

    /// @brief Binds to the address. @return false if binding failed
    [[nodiscard]] bool bind(const Endpoint &endpoint);
    /// @brief Blocks and serves requests until stop() is called.
    void run();
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// @brief Reason why the node is not ready to serve; empty if it is ready.
[[nodiscard]] std::string notReadyReason(const Fleet &fleet, const BundleStatus &status);

} // namespace vanilladyke
