#pragma once

#include "vanilladyke/control/events.hpp"

#include <map>

namespace vanilladyke {

/// @brief What is known of every engine of the bundle: health, incarnation, models held, load.
class EngineController
{
public:
    void handle(const Event &event, TimePoint now);
    void contribute(Fleet &fleet, TimePoint now) const;

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
};

} // namespace vanilladyke
