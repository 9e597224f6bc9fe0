#include "vanilladyke/node/load_sharing.hpp"

#include "node_load.pb.h"
#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/json_reader.hpp"
#include "vanilladyke/node/boot_clock.hpp"
#include "vanilladyke/traffic/exchange.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Most servers in one datagram; with more, the busiest are sent.
constexpr std::size_t MaxBackends = 1000;

/// Most quarantine updates (requests during which engines terminated) in one datagram.
constexpr std::size_t MaxQuarantined = 40;

/// Most engines with rate limits, and most brittle ones, in one datagram.
constexpr std::size_t MaxLimits = 200;

/// A node whose freshness proof of the configuration is older answers no requests of other nodes.
constexpr Duration MaxProofAge = std::chrono::milliseconds(3500);

/// Announced weights change a few times a minute. A starting node receives them within this time,
/// or within twice this time if a datagram is lost.
constexpr Duration WeightsInterval = std::chrono::milliseconds(400);

/// Cap of the ages that are sent; no decision depends on higher ones.
constexpr Duration MaxSentAge = std::chrono::hours(24);

/// Interval at which a live node is reported to the control thread.
constexpr Duration ReportInterval = std::chrono::seconds(1);

std::uint32_t millis(Duration span)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

void write(const AnnouncedWeights &weights, TimePoint now, wire::NamedWeights *out)
{
    out->set_model(weights.model.str());
    out->set_version(weights.date.version);
    // Rounded up, so that the receiver's deadline isn't later than this node's.
    out->set_named_age_ms(millis(std::min(now - weights.date.announcedAfter, MaxSentAge)) + 1);
    out->set_known_age_ms(millis(std::min(now - weights.date.firstReceivedAt, MaxSentAge)));
}

AnnouncedWeights read(const wire::NamedWeights &weights, TimePoint now)
{
    return {ModelId(weights.model()),
            {weights.version(), now - std::chrono::milliseconds(weights.named_age_ms()),
             now - std::chrono::milliseconds(weights.known_age_ms())}};
}

void write(const QuarantineUpdate &update, wire::QuarantinedRequest *request)
{
    request->set_digest_high(update.digest.high);
    request->set_digest_low(update.digest.low);
    request->set_customer(update.customer);
    request->set_is_part(update.isPart);
    request->set_is_answered(update.answeredAge.has_value());
    request->set_answered_age_ms(millis(update.answeredAge.value_or(Duration::zero())));
    for (const QuarantineUpdate::End &end : update.ends) {
        wire::QuarantinedRequest::End *each = request->add_ends();
        each->set_engine(end.engine);
        each->set_age_ms(millis(end.age));
        each->set_had_just_begun(end.hadJustBegun);
        each->set_request(end.request);
        each->set_sent_age_ms(end.sentAge ? millis(*end.sentAge) + 1 : 0);
    }
}

void write(const LimitUpdate &update, wire::BackendLimit *limit)
{
    limit->set_backend(update.backend);
    limit->set_is_observed(update.isObserved);
    limit->set_is_named(update.perSecond.has_value());
    limit->set_per_second(update.perSecond.value_or(0));
    limit->set_age_ms(millis(update.age));
    limit->set_sent(update.sent);
}

void write(const BrittleUpdate &update, wire::BrittleBackend *brittle)
{
    brittle->set_backend(update.backend);
    brittle->set_is_brittle(update.rejections.has_value());
    brittle->set_rejections(update.rejections.value_or(0));
    brittle->set_age_ms(millis(update.age));
}

BrittleUpdate read(const wire::BrittleBackend &brittle)
{
    BrittleUpdate update;
    update.backend = brittle.backend();
    if (brittle.is_brittle()) {
        update.rejections = brittle.rejections();
    }
    update.age = std::chrono::milliseconds(brittle.age_ms());
    return update;
}

LimitUpdate read(const wire::BackendLimit &limit)
{
    LimitUpdate update;
    update.backend = limit.backend();
    update.isObserved = limit.is_observed();
    if (limit.is_named()) {
        update.perSecond = limit.per_second();
    }
    update.age = std::chrono::milliseconds(limit.age_ms());
    update.sent = limit.sent();
    return update;
}

QuarantineUpdate read(const wire::QuarantinedRequest &request)
{
    QuarantineUpdate update{{request.digest_high(), request.digest_low()},
                            request.customer(),
                            std::nullopt,
                            {},
                            request.is_part()};
    if (request.is_answered()) {
        update.answeredAge = std::chrono::milliseconds(request.answered_age_ms());
    }
    for (const wire::QuarantinedRequest::End &end : request.ends()) {
        update.ends.push_back({end.engine(), std::chrono::milliseconds(end.age_ms()),
                               end.had_just_begun(), end.request(), std::nullopt});
        if (end.sent_age_ms() > 0) {
            update.ends.back().sentAge = std::chrono::milliseconds(end.sent_age_ms());
        }
    }
    return update;
}

} // namespace

LoadSharing::LoadSharing(TrafficState &state, Endpoint listen, std::uint16_t queriesPort)
    : m_state(state)
    , m_port(state.context, std::move(listen))
    , m_queriesPort(queriesPort)
    , m_self(state.settings.self)
    , m_dataCentre(hashOfName(state.settings.dataCentre.str()))
    , m_sequence(static_cast<std::uint64_t>(
              std::chrono::system_clock::now().time_since_epoch().count()))
    , m_routes(m_dataCentre)
    , m_origins(state,
                [this](const wire::StreamOrigins &origins, const std::vector<Udp::endpoint> &to) {
                    wire::NodeLoad message;
                    *message.mutable_streams() = origins;
                    m_port.send(message.SerializeAsString(), to);
                })
    , m_places(state, SignedPort::addressOf(m_port.listen()).value_or(Udp::endpoint()),
               [this](const wire::Places &places, const Udp::endpoint &to) {
                   wire::NodeLoad message;
                   *message.mutable_places() = places;
                   m_port.send(message.SerializeAsString(), {to});
               })
    , m_spends(state, [this](const wire::Spends &spends, const Udp::endpoint &to) {
        wire::NodeLoad message;
        *message.mutable_spends() = spends;
        m_port.send(message.SerializeAsString(), {to});
    })
{}

std::optional<std::string> LoadSharing::open()
{
    return m_port.open(
            [this](std::string_view bytes, const Udp::endpoint &from) { receive(bytes, from); });
}

void LoadSharing::setPeers(const std::vector<Endpoint> &peers)
{
    std::vector<Udp::endpoint> addresses;
    for (const Endpoint &peer : peers) {
        const auto address = SignedPort::addressOf(peer);
        if (address && peer != m_port.listen()) {
            addresses.push_back(*address);
        }
    }
    m_routes.setNodes(addresses);
    m_origins.setPeers(addresses);
    m_state.quota.setInterval(regularInterval());
}

Duration LoadSharing::spacing() const
{
    return std::max<Duration>(Interval, std::chrono::seconds(m_routes.size()) / MaxSendsPerSecond);
}

Duration LoadSharing::regularInterval() const
{
    return Interval * std::max<std::size_t>(1, (m_routes.size() + 1) / NodesAtFullRate);
}

Duration LoadSharing::longestInterval() const
{
    return spanOfSeconds(secondsOf(regularInterval()) * (1 + IntervalSpread));
}

Duration LoadSharing::nextInterval()
{
    // The first one is drawn from a whole interval: processes that start together would else send
    // together, and nothing in between.
    const double least = m_sentAt == TimePoint() ? 0 : 1 - IntervalSpread;
    const double most = m_sentAt == TimePoint() ? 1 : 1 + IntervalSpread;
    const double factor = least + (most - least) * uniform(m_state.random);
    return spanOfSeconds(secondsOf(regularInterval()) * factor);
}

void LoadSharing::countPeers()
{
    m_state.setNodes(std::max(m_state.nodes, m_routes.size() + 1), "peer");
    m_places.setInterval(longestInterval());
    m_state.quota.setInterval(regularInterval());
}

void LoadSharing::step(TimePoint now)
{
    m_places.step(m_port.isReady(), now);
    const std::size_t peers = m_routes.size();
    if (peers == 0 || !m_port.isReady()) {
        return;
    }
    const bool hasUpdates =
            m_hasUrgentUpdate || m_state.tracker.hasPlacements() || m_state.quarantine.hasUpdates();
    const bool isUrgent = hasUpdates && now - m_sentAt >= spacing();
    if (now < m_nextAt && !isUrgent) {
        if (m_spends.isDue(now)) {
            sendSpends(now);
        }
        return;
    }
    m_nextAt = now + nextInterval();
    m_state.tracker.dropExpiredPeers(now);
    dropExpired(now);
    sendUpdate(now);
}

void LoadSharing::sendUpdate(TimePoint now)
{
    if (!m_port.isReady()) {
        return;
    }
    m_sentAt = now;
    m_hasUrgentUpdate = false;
    wire::NodeLoad message;
    message.set_node(m_self);
    message.set_data_centre(m_dataCentre);
    const bool reachesStore = m_state.configAge() < MaxProofAge;
    message.set_questions_port(reachesStore ? m_queriesPort : 0);
    message.set_sequence(++m_sequence);
    message.set_address(m_port.listen().str());
    const StoreEraView era = m_state.storeEra();
    message.set_store_era(era.era);
    message.set_era_known_ms(millis(std::min<Duration>(BootClock::now() - era.since, MaxSentAge)));
    message.set_operator_next(m_state.operatorNext());
    const bool takesRequests = m_state.settings.relaysRequests && !m_state.isDraining;
    message.set_relay_port(takesRequests ? m_port.listen().port : 0);
    message.set_grants_places(!m_state.isDraining);
    for (const ServiceId &service : m_state.reach.unreached()) {
        message.add_unreached_services(hashOfName(service.str()));
    }
    if (now >= m_weightsSentAt + WeightsInterval) {
        m_weightsSentAt = now;
        for (const AnnouncedWeights &each : m_state.tracker.announcedWeights()) {
            write(each, now, message.add_named_weights());
        }
    }
    for (const BackendLoadUpdate &each : m_state.tracker.ownLoad(MaxBackends, now)) {
        wire::BackendLoad *load = message.add_backends();
        load->set_backend(each.backend);
        const bool isIdle = each.backlog.total() <= Millis::zero();
        for (int urgency = 0; !isIdle && urgency < PrefillBacklog::Urgencies; ++urgency) {
            load->add_waiting_ms(static_cast<std::uint32_t>(each.backlog.of(urgency).count()));
        }
        load->set_in_flight(static_cast<std::uint32_t>(each.inFlight));
        load->set_loading_ms(millis(each.loading));
        load->set_weights(each.weights);
    }
    for (const PlacementUpdate &each : m_state.tracker.takePlacements()) {
        wire::Placement *placement = message.add_placements();
        placement->set_part(each.part);
        placement->set_backend(each.backend);
        placement->set_weights(each.weights);
        placement->set_saved(each.saved);
        placement->set_written(each.written);
        placement->set_store(each.store);
        placement->set_wanted(each.wanted);
    }
    for (const QuarantineUpdate &each : m_state.quarantine.collectUpdates(
                 m_routes.size() + 1, MaxQuarantined, now, m_state.random)) {
        write(each, message.add_quarantined());
    }
    std::vector<LimitUpdate> limits = m_state.tracker.ownLimits(now);
    limits.resize(std::min(limits.size(), MaxLimits));
    for (const LimitUpdate &each : limits) {
        write(each, message.add_limits());
    }
    std::vector<BrittleUpdate> brittle = m_state.tracker.ownBrittle(now);
    brittle.resize(std::min(brittle.size(), MaxLimits));
    for (const BrittleUpdate &each : brittle) {
        write(each, message.add_brittle());
    }
    std::vector<LeavingUpdate> leaving = m_state.tracker.ownLeaving(now);
    leaving.resize(std::min(leaving.size(), MaxLimits));
    for (const LeavingUpdate &each : leaving) {
        wire::LeavingBackend *update = message.add_leaving();
        update->set_backend(each.backend);
        update->set_age_ms(millis(each.age));
    }
    if (m_spends.hasUpdates(now)) {
        m_spends.write(now, message.mutable_spends());
    }
    sendToAll(std::move(message), now);
}

void LoadSharing::sendToAll(wire::NodeLoad message, TimePoint now)
{
    const auto recipients = m_routes.recipients(m_state.random, now);
    m_port.send(message.SerializeAsString(), recipients.direct);
    message.set_pass_on(true);
    m_port.send(message.SerializeAsString(), recipients.forwarders);
}

void LoadSharing::sendSpends(TimePoint now)
{
    wire::NodeLoad message;
    message.set_address(m_port.listen().str());
    m_spends.write(now, message.mutable_spends());
    m_state.metrics.count("spend_messages_sent_alone_total");
    sendToAll(std::move(message), now);
}

void LoadSharing::forward(wire::NodeLoad message)
{
    message.set_pass_on(false);
    m_port.send(message.SerializeAsString(), m_routes.inSameDataCentre());
}

void LoadSharing::dropExpired(TimePoint now)
{
    std::erase_if(m_peers, [now](const auto &item) { return now - item.second.at > PeerExpiry; });
}

void LoadSharing::receive(std::string_view bytes, const Udp::endpoint &from)
{
    wire::NodeLoad message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        m_state.metrics.count("peer_datagrams_unreadable_total");
        return;
    }
    if (message.has_streams()) {
        m_origins.receive(message.streams(), from);
        return;
    }
    if (message.has_places()) {
        m_places.receive(message.places(), from);
        return;
    }
    Endpoint address;
    const bool hasAddress = parseEndpoint(message.address(), &address);
    const auto origin = hasAddress ? SignedPort::addressOf(address) : std::optional(from);
    const TimePoint now = MonotonicClock::now();
    if (message.has_spends()) {
        m_spends.receive(message.spends(), origin, now);
    }
    if (message.sequence() == 0) { // spends alone
        if (message.pass_on()) {
            forward(message);
        }
        return;
    }
    if (!origin) {
        m_state.metrics.count("peer_datagrams_unreadable_total");
        return;
    }
    Peer &peer = m_peers[message.node()];
    if (message.node() == m_self || message.sequence() <= peer.sequence) {
        return;
    }
    peer.sequence = message.sequence();
    peer.at = now;
    m_origins.nodeSeen(*origin, now);
    m_places.nodeTold(*origin, message, now);
    m_state.quota.nodeHeard(message.node(), !message.grants_places(), now);
    if (m_routes.nodeSeen(*origin, message.data_centre(), now)) {
        countPeers(); // it started after the list was read
    }
    if (message.pass_on()) {
        forward(message);
    }
    std::optional<Endpoint> relay;
    if (message.relay_port() != 0) {
        relay = {origin->address().to_string(), static_cast<std::uint16_t>(message.relay_port())};
    }
    m_state.relays.nodeSeen(
            message.node(), message.data_centre(), relay,
            {message.unreached_services().begin(), message.unreached_services().end()}, now);
    if (message.questions_port() != 0 && now >= peer.reportedAt + ReportInterval) {
        peer.reportedAt = now;
        nodeSeen(message.node(), message.data_centre(),
                 {origin->address().to_string(),
                  static_cast<std::uint16_t>(message.questions_port())});
    }
    const std::pair<std::uint64_t, std::uint64_t> theirs{message.store_era(),
                                                         message.operator_next()};
    if (theirs > m_highestRead) {
        m_highestRead = theirs;
        receivedOperatorNext(message.store_era(), std::chrono::milliseconds(message.era_known_ms()),
                             message.operator_next());
    }
    for (const wire::NamedWeights &each : message.named_weights()) {
        m_state.recordWeightsDate(read(each, now), AnnouncementSource::Reported, "peer");
    }
    std::vector<BackendLoadUpdate> updates;
    updates.reserve(static_cast<std::size_t>(message.backends_size()));
    for (const wire::BackendLoad &load : message.backends()) {
        PrefillBacklog waiting;
        for (int urgency = 0; urgency < load.waiting_ms_size(); ++urgency) {
            waiting.add(urgency, Millis(load.waiting_ms(urgency)));
        }
        updates.push_back({load.backend(), waiting, static_cast<int>(load.in_flight()),
                           std::chrono::milliseconds(load.loading_ms()), load.weights()});
    }
    m_state.tracker.receivedLoad(message.node(), updates, now);
    std::vector<PlacementUpdate> placements;
    placements.reserve(static_cast<std::size_t>(message.placements_size()));
    for (const wire::Placement &each : message.placements()) {
        placements.push_back({each.part(), each.backend(), each.weights(), each.saved(),
                              each.written(), each.store(), each.wanted()});
        if (each.saved() != 0) {
            m_state.keptCache.recordSaved(each.saved(), now);
        }
    }
    m_state.tracker.receivedPlacements(placements, now);
    if (message.limits_size() > 0) {
        applyLimits(message, now);
    }
    if (message.leaving_size() > 0) {
        applyLeaving(message, now);
    }
    if (message.brittle_size() > 0) {
        applyBrittle(message, now);
    }
    if (message.quarantined_size() > 0) {
        applyQuarantined(message, now);
    }
}

void LoadSharing::applyLimits(const wire::NodeLoad &message, TimePoint now)
{
    std::vector<LimitUpdate> updates;
    updates.reserve(static_cast<std::size_t>(message.limits_size()));
    for (const wire::BackendLimit &each : message.limits()) {
        updates.push_back(read(each));
    }
    for (const EngineId &changed : m_state.tracker.receivedLimits(message.node(), updates, now)) {
        const std::optional<double> limit = m_state.tracker.limitOf(changed);
        LogEvent("engine_limit")
                .field("backend", changed.str())
                .field("per_second", limit.value_or(0))
                .field("named", limit.has_value())
                .field("by", "peer")
                .field("peer", message.address());
    }
}

void LoadSharing::applyLeaving(const wire::NodeLoad &message, TimePoint now)
{
    std::vector<LeavingUpdate> updates;
    updates.reserve(static_cast<std::size_t>(message.leaving_size()));
    for (const wire::LeavingBackend &each : message.leaving()) {
        updates.push_back({each.backend(), std::chrono::milliseconds(each.age_ms())});
    }
    for (const EngineId &changed : m_state.tracker.receivedLeaving(updates, now)) {
        LogEvent("engine_leaving")
                .field("backend", changed.str())
                .field("by", "peer")
                .field("peer", message.address());
    }
}

void LoadSharing::applyBrittle(const wire::NodeLoad &message, TimePoint now)
{
    std::vector<BrittleUpdate> updates;
    updates.reserve(static_cast<std::size_t>(message.brittle_size()));
    for (const wire::BrittleBackend &each : message.brittle()) {
        updates.push_back(read(each));
    }
    for (const EngineId &changed : m_state.tracker.receivedBrittle(updates, now)) {
        LogEvent("engine_brittle")
                .field("backend", changed.str())
                .field("brittle", m_state.tracker.isBrittle(changed))
                .field("by", "peer")
                .field("peer", message.address());
    }
}

void LoadSharing::applyQuarantined(const wire::NodeLoad &message, TimePoint now)
{
    std::vector<QuarantineUpdate> updates;
    updates.reserve(static_cast<std::size_t>(message.quarantined_size()));
    for (const wire::QuarantinedRequest &each : message.quarantined()) {
        updates.push_back(read(each));
    }
    for (const WorkDigest &held : m_state.quarantine.applyUpdates(updates, now)) {
        Exchange::withdrawQuarantined(m_state, held);
    }
}

} // namespace vanilladyke
