#pragma once

#include "vanilladyke/control/bundle_status_store.hpp"
#include "vanilladyke/control/events.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/policy/bundle_fold.hpp"

#include <functional>

namespace vanilladyke {

/// @brief Settings and callbacks of a BundleController.
struct BundleControl
{
    NodeId node;
    TrustedSigners trusted;
    Duration logRetention = std::chrono::hours(1); ///< for how long the log keeps a record
    /// @brief Appends a checkpoint to the log without blocking.
    std::function<void(std::string record)> appendCheckpoint;
};

/// @brief Holds the active bundle: the one that the fold over the log accepts, or a newer accepted
/// one received from a peer. A lower version never replaces a higher one.
class BundleController
{
public:
    BundleController(BundleControl control, BundleStatusStore &statusStore,
                     const FleetStore &fleet);

    void handle(const Event &event, TimePoint now);
    void contribute(Fleet &fleet, TimePoint now) const;

    /// @brief The accepted bundle with its history, encoded for a peer; empty if there is none.
    [[nodiscard]] std::string peerRecord() const;
    /// @brief Activates the bundle of a peer's peerRecord() if its signatures are valid and its
    /// version is newer.
    void acceptPeerRecord(std::string_view data);

private:
    void applyPage(const LogPage &page);
    [[nodiscard]] const std::vector<HistoryEntry> &history() const;
    void activate(const AcceptedBundle &accepted, std::string_view source);
    void appendDueCheckpoint(TimePoint now);
    [[nodiscard]] Duration checkpointDelay() const;
    void publishStatus();

    BundleControl m_control;
    BundleStatusStore &m_statusStore;
    const FleetStore &m_fleet;
    BundleFold m_fold;
    std::shared_ptr<const Bundle> m_bundle;
    std::shared_ptr<const CustomerIndex> m_customers; ///< of the bundle
    std::shared_ptr<const AcceptedBundle> m_accepted; ///< null for a bundle from a file
    std::vector<HistoryEntry> m_peerHistory;
    bool m_logReachable = false;
    std::string m_logError = "the log has not been read yet";
    std::optional<TimePoint> m_checkpointAt;
    TimePoint m_nextCheckpointCheck = TimePoint::min();
};

} // namespace vanilladyke
