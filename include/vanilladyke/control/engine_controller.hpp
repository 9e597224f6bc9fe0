#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/policy/orders.hpp"

#include <map>

namespace vanilladyke {

/// @brief Tracks every engine of the bundle: health, incarnation, models held, load.
class EngineController
{
public:
    void handle(const Event &event, TimePoint now);
    void contribute(Fleet &fleet, TimePoint now);

    /// @brief Models held by each engine, in the bundle's order, as of the last contribute().
    [[nodiscard]] const std::vector<EngineHolding> &holdings() const { return m_holdings; }
    /// @brief The bundle as accepted. Valid only after contribute() with a fleet that has a bundle.
    [[nodiscard]] const Bundle &accepted() const { return *m_accepted; }
    /// @brief Engines that may change the models they hold, as of the last contribute().
    [[nodiscard]] const std::vector<EngineId> &changing() const { return m_changing; }

private:
    struct EngineRecord
    {
        EngineReported last;
        std::shared_ptr<const SlotAges> ages;
        TimePoint lastSeenAt;
        bool reachable = false;
        bool leaving = false; ///< reset by its next incarnation
    };

    void applyReport(const EngineReported &report, TimePoint now);
    [[nodiscard]] EngineHolding holdingOf(const EngineEntry &entry, TimePoint now) const;
    [[nodiscard]] EngineView viewOf(const EngineEntry &entry, const EngineHolding &holding) const;
    [[nodiscard]] std::shared_ptr<const Bundle>
    inService(const std::shared_ptr<const Bundle> &bundle);

    std::map<EngineId, EngineRecord> m_records;
    bool m_allPolled = false;                  ///< never reset
    std::shared_ptr<const FleetIndex> m_index; ///< reused while the serving engines do not change
    std::vector<EngineHolding> m_holdings;
    std::vector<EngineId> m_changing;
    WeightsInService m_weights;
    std::shared_ptr<const Bundle> m_accepted; ///< the bundle as accepted
    std::shared_ptr<const Bundle> m_serving;  ///< m_accepted with the weights in service
};

} // namespace vanilladyke
