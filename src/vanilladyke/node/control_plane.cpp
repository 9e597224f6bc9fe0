#include "vanilladyke/node/control_plane.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/node/boot_clock.hpp"

namespace vanilladyke {

namespace {

/// Step interval while a rollout is pending. Without one, IdleStepInterval is enough to expire
/// entries.
constexpr Duration RolloutStepInterval = std::chrono::milliseconds(50);
constexpr Duration IdleStepInterval = std::chrono::milliseconds(250);

} // namespace

void FreshnessProof::renew(TimePoint at)
{
    m_provedAt = at.time_since_epoch().count();
}

Duration FreshnessProof::age() const
{
    const Duration::rep at = m_provedAt;
    return at == Never ? Duration::max() : BootClock::now().time_since_epoch() - Duration(at);
}

ControlPlane::ControlPlane(asio::io_context &context, TrafficState &traffic,
                           ControlSettings settings, LeaseLog &log, EngineOrders &orders,
                           KeptCacheFollower &keptCache, std::uint64_t seed)
    : m_context(context)
    , m_traffic(traffic)
    , m_settings(std::move(settings))
    , m_random(seed)
    , m_calls(m_traffic.metrics)
    , m_weights(m_settings.self, seed, m_settings.lease, m_roster, log, orders, weightsCallbacks(),
                m_calls, &BootClock::now, m_settings.rollout, m_random)
    , m_keptCache(keptCache)
    , m_timer(context)
{}

WeightsCallbacks ControlPlane::weightsCallbacks()
{
    WeightsCallbacks callbacks;
    callbacks.loading = [this](const EngineId &id, Duration span) {
        postToTraffic([id, span](TrafficState &traffic) {
            traffic.tracker.startedLoading(id, MonotonicClock::now() + span);
            traffic.notifyPeers();
        });
    };
    callbacks.loaded = [this](const EngineId &id, const ModelId &model, std::uint64_t version) {
        postToTraffic([id, model, version](TrafficState &traffic) {
            traffic.tracker.finishedLoading(id, model, version, MonotonicClock::now());
            traffic.notifyPeers();
        });
    };
    callbacks.receivedEarlier = [this](const WeightsAge &weights) {
        const TimePoint firstReceivedAt = MonotonicClock::now() - weights.age;
        const AnnouncedWeights named{weights.model,
                                     {weights.version, firstReceivedAt, firstReceivedAt}};
        postToTraffic([named](TrafficState &traffic) {
            traffic.recordWeightsDate(named, AnnouncementSource::Reported, "lease");
        });
    };
    return callbacks;
}

void ControlPlane::start()
{
    schedule();
}

void ControlPlane::releaseLease()
{
    m_weights.stop();
}

void ControlPlane::schedule()
{
    m_timer.expires_after(m_weights.isPending() ? RolloutStepInterval : IdleStepInterval);
    m_timer.async_wait([this](const ErrorCode &error) {
        if (!error) {
            step();
            schedule();
        }
    });
}

void ControlPlane::step()
{
    const TimePoint now = BootClock::now();
    if (m_roster.expire(now)) {
        publishBackends();
    }
    m_weights.setStandbyRank(standbyRank());
    m_weights.setOtherNodes(otherNodes());
    m_weights.step(now);
    m_calls.log(now);
    checkSoftware();
}

void ControlPlane::checkSoftware()
{
    postToTraffic([this](TrafficState &traffic) {
        SoftwareRecords due = traffic.software.dueRecords(MonotonicClock::now());
        if (!due.services.empty()) {
            asio::post(m_context, [this, due = std::move(due)] { onSoftwareDue(due); });
        }
    });
}

void ControlPlane::softwareRecorded(SoftwareRecords records)
{
    for (const auto &[service, recorded] : records.services) {
        LogEvent("software_recorded")
                .field("service", service.str())
                .field("versions", recorded.versions.size())
                .field("callers_ms", recorded.callersTime)
                .field("reading", records.reading);
    }
    postToTraffic([records = std::move(records)](TrafficState &traffic) {
        traffic.software.setRecords(records);
    });
}

void ControlPlane::configurationRead(RoutingConfig config)
{
    if (m_hasConfig && config.version <= m_version) {
        return;
    }
    m_hasConfig = true;
    m_version = config.version;
    LogEvent("configuration")
            .field("version", config.version)
            .field("routes", config.routes.size())
            .field("services", config.services.size())
            .field("customers", config.customers.size());
    auto table = std::make_shared<const RouteTable>(std::move(config));
    postToTraffic(
            [table](TrafficState &traffic) { traffic.setTable(table, MonotonicClock::now()); });
    std::vector<Endpoint> stores;
    for (const KeptStore &store : table->keptStores()) {
        stores.push_back(store.endpoint);
    }
    m_keptCache.follow(stores, *this);
}

void ControlPlane::weightsAnnounced(const ModelId &model, std::uint64_t version,
                                    std::optional<Duration> age)
{
    m_weights.weightsAnnounced(model, version, BootClock::now());
    // Read here, since the traffic thread may run the posted change late.
    const TimePoint now = MonotonicClock::now();
    if (age) {
        const AnnouncedWeights named{model, {version, now - *age, now}};
        postToTraffic([named](TrafficState &traffic) {
            traffic.recordWeightsDate(named, AnnouncementSource::Read, "record");
        });
        return;
    }
    // A node that has just started has no bound on the age. It assumes half of the time for which
    // older weights may be used: that neither excludes all engines on older weights at once nor
    // keeps them available too long.
    const TimePoint estimate = now - m_traffic.settings.rates.oldWeightsPeriod / 2;
    const AnnouncedWeights named{model, {version, estimate, estimate}};
    postToTraffic([named](TrafficState &traffic) {
        traffic.recordWeightsDate(named, AnnouncementSource::Estimated, "guess");
    });
}

bool ControlPlane::backendRead(BackendEntry entry)
{
    const EngineId id = entry.id;
    const bool isDraining = entry.isDraining;
    const std::string software = entry.software;
    m_versionsRead.emplace(entry.service, softwareKey(software));
    const std::uint64_t start = entry.start;
    const bool wasUnsettled = m_roster.isUnsettled(id);
    const bool isChanged = m_roster.put(std::move(entry));
    if (isChanged) {
        LogEvent("backend_changed")
                .field("backend", id.str())
                .field("draining", isDraining)
                .field("software", software)
                .field("start", start)
                .field("known", m_roster.size());
        publishBackends();
    }
    // Which of two starts counts depends on whether two entries in a row are seen.
    return isChanged || wasUnsettled || m_roster.isUnsettled(id);
}

void ControlPlane::backendRemoved(const EngineId &id, StorePosition position)
{
    const bool isRemoved = m_roster.remove(id, position, BootClock::now());
    LogEvent("backend_gone").field("backend", id.str()).field("at_once", isRemoved);
    if (isRemoved) {
        publishBackends();
    }
}

void ControlPlane::backendsListed(const std::map<EngineId, bool> &present, bool mayLackEntries)
{
    if (mayLackEntries) {
        m_mayLackServersUntil = BootClock::now() + BackendRoster::RewriteGrace;
    }
    if (std::exchange(m_hasListed, true)) {
        LogEvent("backends_listed_anew").field("present", present.size());
        postToTraffic([](TrafficState &traffic) {
            traffic.software.watchInterrupted(MonotonicClock::now());
        });
    }
    if (m_roster.keepOnly(present, mayLackEntries, BootClock::now())) {
        publishBackends();
    }
}

void ControlPlane::backendsProved(TimePoint sentAt)
{
    const bool wasAway = m_backendsProvedAt != TimePoint::min()
                         && sentAt - m_backendsProvedAt > SoftwareHistory::ListingMargin;
    m_backendsProvedAt = sentAt;
    if (wasAway) {
        m_mayLackServersUntil = sentAt + BackendRoster::RewriteGrace;
    }
    const bool mayLackServers = sentAt < m_mayLackServersUntil;
    // Behind a publication that is posted, so that the traffic thread has the proved list first.
    asio::post(m_context, [this, sentAt, mayLackServers] {
        postToTraffic([this, sentAt, mayLackServers](TrafficState & /*traffic*/) {
            m_backendsProof.renew(sentAt);
            if (mayLackServers) {
                onBackendsReadFailed(sentAt);
            } else {
                onBackendsProved(sentAt);
            }
        });
    });
}

void ControlPlane::backendsReadFailed(TimePoint sentAt)
{
    postToTraffic([this, sentAt](TrafficState & /*traffic*/) { onBackendsReadFailed(sentAt); });
}

void ControlPlane::configurationProved(TimePoint sentAt)
{
    if (m_storeIsDown) {
        m_storeIsDown = false;
        LogEvent("store_regained").field("proof_age_ms", m_proof.age());
    }
    // Behind the configurations that were posted: seen at once, the proof would vouch for the table
    // that the traffic thread still uses.
    postToTraffic([this, sentAt](TrafficState & /*traffic*/) { m_proof.renew(sentAt); });
}

void ControlPlane::storeFailed()
{
    m_roster.storeFailed(BootClock::now());
    if (!m_storeIsDown) {
        m_storeIsDown = true;
        LogEvent("store_lost", Severity::Warning).field("proof_age_ms", m_proof.age());
    }
}

void ControlPlane::nodesListed(std::vector<Endpoint> peers)
{
    postToTraffic([peers = std::move(peers)](TrafficState &traffic) {
        traffic.setNodes(std::max<std::size_t>(peers.size(), 1), "listing");
        if (traffic.onPeersChanged) {
            traffic.onPeersChanged(peers);
        }
    });
}

void ControlPlane::keptCacheReset(const Endpoint &store, KeptCacheState state)
{
    postToTraffic([store, state](TrafficState &traffic) { traffic.keptCache.reset(store, state); });
}

void ControlPlane::keptCacheChanged(const Endpoint &store, std::vector<KeptPart> parts)
{
    postToTraffic([store, parts = std::move(parts)](TrafficState &traffic) {
        for (const KeptPart &each : parts) {
            traffic.keptCache.changed(store, each.salt, each.part, each.tokens);
        }
    });
}

void ControlPlane::publishBackends()
{
    if (m_isPublishing) {
        return;
    }
    m_isPublishing = true;
    asio::post(m_context, [this] {
        m_isPublishing = false;
        publishNow();
    });
}

void ControlPlane::publishNow()
{
    postToTraffic([serving = m_roster.serving(),
                   versions = std::exchange(m_versionsRead, {})](TrafficState &traffic) {
        for (const auto &[service, software] : versions) {
            traffic.software.versionRead(service, software, MonotonicClock::now());
        }
        traffic.setBackends(serving, MonotonicClock::now());
        traffic.pool.closeStale(
                [&](const EngineId &id) { return traffic.tracker.contains(id) || isRelayId(id); },
                MonotonicClock::now());
    });
}

} // namespace vanilladyke
