#pragma once

#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/operators/publisher.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

/// HTTP for operators, on an address of its own:
///   POST /operator/v1/bundles   publish a signed bundle
///   GET  /operator/v1/status    bundle and phase of every node, state of the log
///   GET  /operator/v1/history   accepted bundles, oldest first
///   GET  /operator/v1/bundle    the bundle in force, as it was signed
///   GET  /operator/v1/state     the fleet as this node sees it
///   GET  /metrics, /healthz, /readyz   without a key
namespace vanilladyke {

/// @brief An operator who may use the interface.
struct OperatorKey
{
    std::string id;
    std::string digest; ///< BLAKE2b-256 of the bearer key, hexadecimal
};

/// @brief What the operators' interface shows and needs.
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

/// @brief Serves operators.
class OperatorServer
{
public:
    explicit OperatorServer(OperatorContext context);
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;
    ~OperatorServer();

    /// @brief Takes the address. @return false if it is not to be had
    [[nodiscard]] bool bind(const Endpoint &endpoint);
    /// @brief Serves until stop().
    void run();
    void stop();

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

/// @brief Why a node is not ready to serve; empty if it is.
[[nodiscard]] std::string notReadyReason(const Fleet &fleet, const BundleStatus &status);

} // namespace vanilladyke
