#pragma once

#include "vanilladyke/node/weights_controller.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

#include <atomic>
#include <set>

/// The control side of a node: applies changes from the store and posts them to the traffic thread.
namespace vanilladyke {

/// @brief Deployment settings of the control plane.
struct ControlSettings
{
    std::string self; ///< host name; identifies the holder of the lease
    LeaseTerms lease;
    RolloutTerms rollout;
};

/// @brief Time of the last freshness proof of a topic; shared by both threads.
class FreshnessProof
{
public:
    void renew(TimePoint at);
    /// @return the age of the last proof; Duration::max() without one
    [[nodiscard]] Duration age() const;

private:
    static constexpr Duration::rep Never = -1;
    std::atomic<Duration::rep> m_provedAt{Never}; ///< on the boot clock
};

/// @brief Applies changes from the store and drives weight rollouts. Runs on the control thread.
class ControlPlane : public StateListener
{
public:
    ControlPlane(asio::io_context &context, TrafficState &traffic, ControlSettings settings,
                 LeaseLog &log, EngineOrders &orders, KeptCacheFollower &keptCache,
                 std::uint64_t seed);

    void start();
    /// @brief This node's rank among the standby nodes for the order lease; none: it doesn't wait
    /// for the lease.
    std::function<std::optional<std::size_t>()> standbyRank = [] { return std::size_t{0}; };
    /// @brief Number of other nodes that were seen recently.
    std::function<std::size_t()> otherNodes = [] { return std::size_t{0}; };
    /// @brief Called with the records of software versions that have to be written.
    std::function<void(SoftwareRecords due)> onSoftwareDue = [](const SoftwareRecords &) {};
    /// @brief Called on the traffic thread when it has the list of servers that a call gave which
    /// began at @p sentAt.
    std::function<void(TimePoint sentAt)> onBackendsProved = [](TimePoint) {};
    /// @brief Called on the traffic thread when a call for the list that began at @p sentAt failed.
    std::function<void(TimePoint sentAt)> onBackendsReadFailed = [](TimePoint) {};
    /// @brief Stops sending orders and releases the lease, before the node stops.
    void releaseLease();
    [[nodiscard]] const FreshnessProof &proof() const { return m_proof; }
    /// @brief Proof of the list of servers that the traffic thread uses.
    [[nodiscard]] const FreshnessProof &backendsProof() const { return m_backendsProof; }
    /// @brief Counter of all store calls of the control thread.
    [[nodiscard]] StoreCalls &storeCalls() { return m_calls; }

    void configurationRead(RoutingConfig config) override;
    void weightsAnnounced(const ModelId &model, std::uint64_t version,
                          std::optional<Duration> age) override;
    bool backendRead(BackendEntry entry) override;
    void backendRemoved(const EngineId &id, StorePosition position) override;
    void backendsListed(const std::map<EngineId, bool> &present, bool mayLackEntries) override;
    void backendsProved(TimePoint sentAt) override;
    void backendsReadFailed(TimePoint sentAt) override;
    void configurationProved(TimePoint sentAt) override;
    void storeFailed() override;
    void nodesListed(std::vector<Endpoint> peers) override;
    void softwareRecorded(SoftwareRecords records) override;
    void keptCacheReset(const Endpoint &store, KeptCacheState state) override;
    void keptCacheChanged(const Endpoint &store, std::vector<KeptPart> parts) override;

private:
    void step();
    void schedule();
    /// Asks the traffic thread for records that have to be written.
    void checkSoftware();
    /// Posted, so that a page of a thousand entries is published once.
    void publishBackends();
    void publishNow();
    [[nodiscard]] WeightsCallbacks weightsCallbacks();
    template <typename Change>
    void postToTraffic(Change change)
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
    FreshnessProof m_proof;
    FreshnessProof m_backendsProof;
    asio::steady_timer m_timer;
    std::uint64_t m_version = 0;
    bool m_hasConfig = false;
    bool m_storeIsDown = false;
    /// Versions of the entries that were read since the last publication.
    std::set<std::pair<ServiceId, std::uint64_t>> m_versionsRead;
    TimePoint m_backendsProvedAt = TimePoint::min(); ///< on the boot clock
    /// Until then the list may lack servers that run: their entries had lapsed, or the store came
    /// back from an older copy.
    TimePoint m_mayLackServersUntil = TimePoint::min();
    bool m_hasListed = false;    ///< the servers were listed once
    bool m_isPublishing = false; ///< a publication of the servers is posted
};

} // namespace vanilladyke
