#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/policy/orders.hpp"

#include <map>

namespace vanilladyke {

/// @brief What is known of every engine of the bundle: health, incarnation, models held, load.
class EngineController
{
public:
    void handle(const Event &event, TimePoint now);
    void contribute(Fleet &fleet, TimePoint now);

    /// @brief What each engine of the bundle holds, in the bundle's order, as last contributed.
    [[nodiscard]] const std::vector<EngineHolding> &holdings() const { return m_holdings; }
    /// @brief The bundle as accepted; only after a contribution to a fleet with a bundle.
    [[nodiscard]] const Bundle &wanted() const { return *m_wanted; }
    /// @brief Engines that may change what they hold, as last contributed.
    [[nodiscard]] const std::vector<EngineId> &changing() const { return m_changing; }

private:
    struct Known
    {
        EngineReported last;
        std::shared_ptr<const SlotAges> ages;
        TimePoint heardAt;
        bool reachable = false;
        bool leaving = false; ///< until its next incarnation
    };

    void takeReport(const EngineReported &report, TimePoint now);
    [[nodiscard]] EngineHolding holdingOf(const EngineEntry &entry, TimePoint now) const;
    [[nodiscard]] EngineView viewOf(const EngineEntry &entry, const EngineHolding &holding) const;
    [[nodiscard]] std::shared_ptr<const Bundle>
    inService(const std::shared_ptr<const Bundle> &bundle);

    std::map<EngineId, Known> m_known;
    bool m_allHeardOf = false;                 ///< once true it stays so
    std::shared_ptr<const FleetIndex> m_index; ///< kept while the serving engines stay the same
    std::vector<EngineHolding> m_holdings;
    std::vector<EngineId> m_changing;
    WeightsInService m_weights;
    std::shared_ptr<const Bundle> m_wanted;  ///< as accepted
    std::shared_ptr<const Bundle> m_serving; ///< the same with the weights in service
};

} // namespace vanilladyke
