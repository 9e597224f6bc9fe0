#pragma once

#include "vanilladyke/node/weights_controller.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

#include <atomic>

/// The control side of a node: takes in what the store tells, and hands it to the traffic thread.
namespace vanilladyke {

/// @brief Figures of the deployment that control follows.
struct ControlSettings
{
    std::string self; ///< of the machine; names the holder of the lease
    LeaseTerms lease;
    RolloutTerms rollout;
    FleetRetryLimits secondSends; ///< the number of nodes is filled in as it becomes known
};

/// @brief When the configuration was last proved to be the newest; shared by both threads.
class ProofOfAge
{
public:
    void prove(TimePoint at);
    [[nodiscard]] Duration age() const;

private:
    static constexpr Duration::rep Never = -1;
    std::atomic<Duration::rep> m_provedAt{Never}; ///< on the boot clock
};

/// @brief Runs on the control thread.
class ControlPlane : public StateListener
{
public:
    ControlPlane(asio::io_context &context, TrafficState &traffic, ControlSettings settings,
                 LeaseLog &log, EngineOrders &orders, KeptCacheFollower &keptCache,
                 std::uint64_t seed);

    void start();
    /// @brief This node's place among those that wait for the lease of orders; none: it leaves it
    /// to them.
    std::function<std::optional<std::size_t>()> standbyRank = [] { return std::size_t{0}; };
    /// @brief Other nodes that were heard of lately.
    std::function<std::size_t()> otherNodes = [] { return std::size_t{0}; };
    /// @brief The node will stop: another one is to give the orders from now on.
    void handOver();
    [[nodiscard]] const ProofOfAge &proof() const { return m_proof; }
    /// @brief Counts calls of everything that runs on the control thread.
    [[nodiscard]] StoreCalls &storeCalls() { return m_calls; }

    void configurationRead(RoutingConfig config) override;
    void weightsNamed(const ModelId &model, std::uint64_t version,
                      std::optional<Duration> age) override;
    bool backendRead(BackendEntry entry) override;
    void backendGone(const EngineId &id) override;
    void backendsListed(const std::map<EngineId, bool> &present) override;
    void configurationProved(TimePoint sentAt) override;
    void storeFailed() override;
    void nodesListed(std::vector<Endpoint> peers) override;
    void keptCacheReset(const Endpoint &store, KeptCacheState state) override;
    void keptCacheChanged(const Endpoint &store, std::vector<KeptPart> parts) override;

private:
    void step();
    void schedule();
    /// Soon, so that a page of a thousand entries is published once.
    void publishBackends();
    void publishNow();
    [[nodiscard]] WeightsNews newsForTraffic();
    template <typename Change>
    void tell(Change change)
    {
        asio::post(m_traffic.context, [this, change = std::move(change)] { change(m_traffic); });
    }

    asio::io_context &m_context;
    TrafficState &m_traffic;
    ControlSettings m_settings;
    Random m_random;
    StoreCalls m_calls;
    BackendRoster m_roster;
    WeightsController m_weights;
    KeptCacheFollower &m_keptCache;
    ProofOfAge m_proof;
    asio::steady_timer m_timer;
    std::uint64_t m_version = 0;
    bool m_hasConfig = false;
    bool m_storeIsDown = false;
    bool m_isPublishing = false; ///< the servers are published when the present page is read
};

} // namespace vanilladyke
