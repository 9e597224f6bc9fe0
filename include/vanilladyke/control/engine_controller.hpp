#pragma once

#include "vanilladyke/control/events.hpp"
#include "vanilladyke/model/fleet_index.hpp"

#include <map>

namespace vanilladyke {

/// @brief What is known of every engine of the bundle: health, incarnation, models held, load.
class EngineController
{
public:
    void handle(const Event &event, TimePoint now);
    void contribute(Fleet &fleet, TimePoint now);

private:
    struct Known
    {
        EngineReported last;
        TimePoint heardAt;
        bool reachable = false;
        bool leaving = false; ///< until its next incarnation
    };

    [[nodiscard]] EngineView viewOf(const EngineEntry &entry, const Bundle &bundle,
                                    TimePoint now) const;

    std::map<EngineId, Known> m_known;
    std::shared_ptr<const FleetIndex> m_index; ///< kept while the serving engines stay the same
};

} // namespace vanilladyke
