#include "vanilladyke/traffic/traffic_state.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

void TrafficState::dateWeights(const AnnouncedWeights &weights, DateGrounds grounds,
                               std::string_view by)
{
    const TimePoint now = MonotonicClock::now();
    if (!book.weightsAnnounced(weights, grounds, now)) {
        return;
    }
    LogEvent("weights_dated")
            .field("model", weights.model.str())
            .field("version", weights.date.version)
            .field("by", by)
            .field("age_ms", now - weights.date.namedAfter)
            .field("known_ms", now - weights.date.knownAt);
}

} // namespace vanilladyke
