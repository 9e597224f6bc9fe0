#include "vanilladyke/traffic/traffic_state.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

void TrafficState::setNodes(std::size_t count, std::string_view by)
{
    if (nodes != count) {
        LogEvent("nodes_counted").field("nodes", count).field("before", nodes).field("by", by);
    }
    nodes = count;
    retryBudget.setNodes(count, MonotonicClock::now());
    quota.setNodes(count);
    metrics.gauge("nodes", static_cast<double>(count));
}

void TrafficState::setTable(std::shared_ptr<const RouteTable> newTable, TimePoint now)
{
    table = std::move(newTable);
    tracker.setTransferRates(table->transferRates());
    keptCache.setStores(table->keptStores());
    quota.setCustomers(table->config().customers, now);
}

void TrafficState::setBackends(const std::vector<BackendEntry> &serving, TimePoint now)
{
    tracker.setBackends(serving, now);
    if (software.setServers(serving, now)) {
        tellAllOrigins(); // streams that began until now were not told of
    }
}

void TrafficState::streamBegan(const ServiceId &service, const StreamOrigin &origin, TimePoint now)
{
    origins.record(origin, now);
    if (software.onlyVersion(service, now) != origin.software) {
        tellOrigin(origin);
    }
}

void TrafficState::recordWeightsDate(const AnnouncedWeights &weights, AnnouncementSource grounds,
                                     std::string_view by)
{
    const TimePoint now = MonotonicClock::now();
    if (!tracker.weightsAnnounced(weights, grounds, now)) {
        return;
    }
    LogEvent("weights_dated")
            .field("model", weights.model.str())
            .field("version", weights.date.version)
            .field("by", by)
            .field("age_ms", now - weights.date.announcedAfter)
            .field("known_ms", now - weights.date.firstReceivedAt);
}

} // namespace vanilladyke
