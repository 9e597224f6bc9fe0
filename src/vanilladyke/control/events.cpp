#include "vanilladyke/control/events.hpp"

namespace vanilladyke {

bool isDroppable(const Event &event)
{
    return std::holds_alternative<Tick>(event) || std::holds_alternative<EngineReported>(event)
           || std::holds_alternative<EngineUnreachable>(event)
           || std::holds_alternative<CacheEventsRead>(event)
           || std::holds_alternative<PrefixSent>(event)
           || std::holds_alternative<LoadObserved>(event);
}

} // namespace vanilladyke
