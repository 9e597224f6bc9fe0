#pragma once

#include "vanilladyke/app/bundle_setup.hpp"
#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/bundle_controller.hpp"
#include "vanilladyke/control/bundle_snapshot.hpp"
#include "vanilladyke/control/cache_controller.hpp"
#include "vanilladyke/control/claim_client.hpp"
#include "vanilladyke/control/claim_controller.hpp"
#include "vanilladyke/control/claim_io.hpp"
#include "vanilladyke/control/control_thread.hpp"
#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/control/engine_poller.hpp"
#include "vanilladyke/control/host_list_poller.hpp"
#include "vanilladyke/control/membership_controller.hpp"
#include "vanilladyke/control/order_controller.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"
#include "vanilladyke/control/snapshot_controller.hpp"
#include "vanilladyke/gateway/caller_server.hpp"
#include "vanilladyke/operators/operator_server.hpp"
#include "vanilladyke/peers/peer_transport.hpp"
#include "vanilladyke/platform/log_client.hpp"

#include <csignal>
#include <optional>
#include <thread>

namespace vanilladyke {

/// @brief Owns and connects all components of a node. Members are declared in dependency order, so
/// that they are destroyed in the reverse order.
class Node
{
public:
    Node(const HostSettings &settings, const PeerKeys &peerKeys);
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /// @brief Binds all addresses. Connections from callers wait in the listen queue until run().
    /// @return the first setting that can't be applied, with the reason
    [[nodiscard]] std::optional<FieldError> bind();
    /// @brief Serves until one of the signals arrives, then shuts down gracefully.
    void run(const sigset_t &signals);

private:
    using Control =
            ControlThread<BundleController, MembershipController, EngineController, CacheController,
                          OrderController, ClaimController, SnapshotController>;

    void startControl();
    void startPlatform();
    void send(Outgoing outgoing) { m_transport.send(std::move(outgoing)); }
    [[nodiscard]] OperatorContext makeOperatorContext();
    [[nodiscard]] CallerServerOptions makeCallerOptions();

    const HostSettings &m_settings;
    Metrics m_metrics;
    FleetStore m_fleet;
    Inbox m_inbox;
    BundleStatusStore m_board;
    SharedCacheView m_cacheView;
    ClaimIo m_claimIo;
    ClaimClient m_claimClient;
    BundleLog m_bundleLog;
    PeerTransport m_transport;
    OrderSender m_orderSender;

    BundleController m_bundles;
    BundleSnapshot m_bundleSnapshot;
    MembershipController m_members;
    EngineController m_engines;
    CacheController m_cache;
    OrderController m_orders;
    ClaimController m_claims;
    SnapshotController m_snapshots;

    OperatorServer m_operators;
    CallerServer m_callers;

    std::optional<Control> m_control;
    std::optional<ClaimLog<LogClient>> m_claimLog;
    std::optional<EnginePoller> m_poller;
    std::optional<HostListPoller> m_hostList;
};

} // namespace vanilladyke
