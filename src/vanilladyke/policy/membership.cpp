#include "vanilladyke/policy/membership.hpp"

#include <algorithm>
#include <utility>

namespace vanilladyke {

namespace {

/// Two probes per period detect a dead node among nine within a second, and keep the cost per node
/// far below the limit of 3 KB per second for control traffic.
constexpr int ProbesPerPeriod = 2;
constexpr int Helpers = 3;
constexpr std::size_t UpdatesPerMessage = 6;
constexpr std::size_t LeavingPerMessage = 8;
/// Average number of periods between probes to an address without a live node.
constexpr std::uint64_t InactiveProbePeriods = 4;
/// Number of leaving engines remembered, so that an update is not gossiped again when received.
constexpr std::size_t LeavingRemembered = 1024;

bool isDead(const Member &member)
{
    return member.liveness == Liveness::Dead;
}

template <typename T>
void shuffle(std::vector<T> &items, Random &random)
{
    for (std::size_t i = items.size(); i > 1; --i) {
        std::swap(items[i - 1], items[uniformBelow(random, i)]);
    }
}

} // namespace

Membership::Membership(Member self, std::vector<Endpoint> seeds, MembershipTiming timing)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_timing(timing)
{
    std::erase(m_seeds, m_self.peers);
    m_updates.add(m_self.node, m_self);
}

std::vector<Outgoing> Membership::tick(TimePoint now, Random &random)
{
    std::vector<Outgoing> out;
    expire(now);
    probeIndirectly(out, now, random);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_timing.probeEvery;
        startProbes(out, now, random);
    }
    return out;
}

std::vector<Outgoing> Membership::receive(const PeerMessage &message, const ReplyRoute &route,
                                          TimePoint now)
{
    const bool isNew = !m_known.contains(message.from.node);
    merge(message.from, now);
    const auto sender = m_known.find(message.from.node);
    if (sender != m_known.end() && sender->second.member.incarnation == message.from.incarnation) {
        sender->second.member.bundleVersion = message.from.bundleVersion;
    }
    for (const Member &member : message.updates) {
        merge(member, now);
    }
    for (const EngineId &engine : message.leavingEngines) {
        spreadLeaving(engine);
    }
    std::vector<Outgoing> out;
    if (const auto *ping = std::get_if<Ping>(&message.body)) {
        PeerMessage answer = compose(Ack{ping->sequence});
        // A node that just joined knows no others: it gets all members at once, instead of waiting
        // for single updates.
        if (isNew) {
            answer.updates = members();
        }
        appendSuspicion(answer, message.from.node);
        out.push_back({route, std::move(answer)});
    } else if (const auto *request = std::get_if<PingRequest>(&message.body)) {
        const std::uint64_t sequence = m_nextSequence++;
        m_indirectProbes.push_back({sequence, request->sequence, route, now + m_timing.probeEvery});
        out.push_back({request->target, compose(Ping{sequence})});
    } else if (const auto *ack = std::get_if<Ack>(&message.body)) {
        if (auto forwarded = acknowledge(*ack)) {
            out.push_back(std::move(*forwarded));
        }
    }
    return out;
}

void Membership::setPhase(Phase phase)
{
    if (m_self.phase != phase) {
        m_self.phase = phase;
        ++m_self.revision;
        m_updates.add(m_self.node, m_self);
    }
}

void Membership::setBundleVersion(std::uint64_t version)
{
    m_self.bundleVersion = version;
}

void Membership::addSeed(const Endpoint &seed)
{
    const bool known = std::find(m_seeds.begin(), m_seeds.end(), seed) != m_seeds.end();
    if (!known && seed != m_self.peers) {
        m_seeds.push_back(seed);
    }
}

void Membership::spreadLeaving(const EngineId &engine)
{
    if (std::find(m_leavingKnown.begin(), m_leavingKnown.end(), engine) != m_leavingKnown.end()) {
        return;
    }
    if (m_leavingKnown.size() >= LeavingRemembered) {
        m_leavingKnown.erase(m_leavingKnown.begin());
    }
    m_leavingKnown.push_back(engine);
    m_leavingReceived.push_back(engine);
    m_leavingUpdates.add(engine, engine);
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> all{m_self};
    for (const auto &[node, known] : m_known) {
        all.push_back(known.member);
    }
    return all;
}

std::size_t Membership::liveCount() const
{
    const auto live = std::count_if(m_known.begin(), m_known.end(),
                                    [](const auto &entry) { return !isDead(entry.second.member); });
    return 1 + static_cast<std::size_t>(live);
}

std::vector<EngineId> Membership::takeLeaving()
{
    return std::exchange(m_leavingReceived, {});
}

std::vector<Member> Membership::takeChanges()
{
    return std::exchange(m_changes, {});
}

void Membership::merge(const Member &update, TimePoint now)
{
    if (update.node == m_self.node) {
        refute(update);
        return;
    }
    const auto found = m_known.find(update.node);
    if (found == m_known.end()) {
        // An unknown dead node is not added. Otherwise it would never be removed from the fleet:
        // each node that removed it would receive it again from one that has not.
        if (!isDead(update)) {
            change(m_known[update.node], update, now);
        }
    } else if (isNewer(update, found->second.member)) {
        change(found->second, update, now);
    }
}

void Membership::refute(const Member &update)
{
    const bool isOlder = update.incarnation < m_self.incarnation;
    if (isOlder || update.revision < m_self.revision || update.liveness == Liveness::Alive) {
        return;
    }
    // Another node missed an answer and suspects this one. Unrefuted, the others would take over
    // this node's orders and count one node less. A higher revision overrides the suspicion.
    m_self.revision = update.revision + 1;
    m_updates.add(m_self.node, m_self);
}

void Membership::change(Known &known, const Member &to, TimePoint now)
{
    const bool isVisible = known.member.liveness != to.liveness || known.member.phase != to.phase
                           || known.member.incarnation != to.incarnation;
    known.member = to;
    known.deadline = now + (isDead(to) ? m_timing.rememberDeadFor : m_timing.suspectFor);
    m_updates.add(to.node, to);
    if (isVisible) {
        m_changes.push_back(to);
    }
}

void Membership::suspect(const NodeId &node, TimePoint now)
{
    const auto found = m_known.find(node);
    if (found == m_known.end() || found->second.member.liveness != Liveness::Alive) {
        return;
    }
    Member suspected = found->second.member;
    suspected.liveness = Liveness::Suspect;
    change(found->second, suspected, now);
}

void Membership::expire(TimePoint now)
{
    for (const Probe &probe : m_probes) {
        if (probe.timesOutAt <= now && probe.node) {
            suspect(*probe.node, now);
        }
    }
    std::erase_if(m_probes, [&](const Probe &probe) { return probe.timesOutAt <= now; });
    std::erase_if(m_indirectProbes,
                  [&](const IndirectProbe &indirect) { return indirect.expiresAt <= now; });
    for (auto &[node, known] : m_known) {
        if (known.member.liveness == Liveness::Suspect && known.deadline <= now) {
            Member dead = known.member;
            dead.liveness = Liveness::Dead;
            change(known, dead, now);
        }
    }
    std::erase_if(m_known, [&](const auto &entry) {
        return isDead(entry.second.member) && entry.second.deadline <= now;
    });
}

void Membership::startProbes(std::vector<Outgoing> &out, TimePoint now, Random &random)
{
    const std::size_t alive = liveCount() - 1;
    const bool isAlone = alive == 0;
    if (isAlone || uniformBelow(random, InactiveProbePeriods) == 0) {
        if (const std::optional<Endpoint> address = nextInactiveAddress(random)) {
            probe(out, *address, std::nullopt, now);
        }
    }
    for (std::size_t i = 0; i < std::min<std::size_t>(ProbesPerPeriod, alive); ++i) {
        if (const Member *member = nextMember(random)) {
            probe(out, member->peers, member->node, now);
        }
    }
}

void Membership::probe(std::vector<Outgoing> &out, const Endpoint &target,
                       std::optional<NodeId> node, TimePoint now)
{
    const std::uint64_t sequence = m_nextSequence++;
    m_probes.push_back({sequence, target, std::move(node), now + m_timing.answerWithin,
                        now + m_timing.answerWithin + m_timing.probeEvery});
    out.push_back({target, compose(Ping{sequence})});
}

void Membership::probeIndirectly(std::vector<Outgoing> &out, TimePoint now, Random &random)
{
    for (Probe &probe : m_probes) {
        if (probe.hasProbedIndirectly || !probe.node || probe.probeIndirectlyAt > now) {
            continue;
        }
        probe.hasProbedIndirectly = true;
        std::vector<Endpoint> helpers;
        for (const auto &[node, known] : m_known) {
            if (node != *probe.node && known.member.liveness == Liveness::Alive) {
                helpers.push_back(known.member.peers);
            }
        }
        shuffle(helpers, random);
        helpers.resize(std::min<std::size_t>(helpers.size(), Helpers));
        for (const Endpoint &helper : helpers) {
            out.push_back({helper, compose(PingRequest{probe.sequence, probe.target})});
        }
    }
}

std::optional<Endpoint> Membership::nextInactiveAddress(Random &random)
{
    std::vector<Endpoint> addresses = m_seeds;
    for (const auto &[node, known] : m_known) {
        std::erase(addresses, known.member.peers);
        if (isDead(known.member)) {
            addresses.push_back(known.member.peers);
        }
    }
    if (addresses.empty()) {
        return std::nullopt;
    }
    return addresses[uniformBelow(random, addresses.size())];
}

const Member *Membership::nextMember(Random &random)
{
    // Rounds in shuffled order: every member is probed once per round, which bounds the time until
    // a dead one is detected. Independent random selection has no such bound.
    for (int round = 0; round < 2; ++round) {
        while (!m_order.empty()) {
            const auto found = m_known.find(m_order.back());
            m_order.pop_back();
            if (found != m_known.end() && !isDead(found->second.member)) {
                return &found->second.member;
            }
        }
        for (const auto &[node, known] : m_known) {
            m_order.push_back(node);
        }
        shuffle(m_order, random);
    }
    return nullptr;
}

PeerMessage Membership::compose(decltype(PeerMessage::body) body)
{
    const std::uint32_t repeats = gossipRepeats(m_known.size());
    PeerMessage message;
    message.from = m_self;
    message.updates = m_updates.take(UpdatesPerMessage, repeats);
    message.leavingEngines = m_leavingUpdates.take(LeavingPerMessage, repeats);
    message.load = m_load;
    message.body = std::move(body);
    return message;
}

void Membership::appendSuspicion(PeerMessage &message, const NodeId &node) const
{
    // When a disconnected node returns, the update that declared it dead may no longer be gossiped.
    // Unless the node receives it, it does not refute it, and stays dead to the others permanently.
    const auto found = m_known.find(node);
    if (found != m_known.end() && found->second.member.liveness != Liveness::Alive) {
        message.updates.push_back(found->second.member);
    }
}

std::optional<Outgoing> Membership::acknowledge(const Ack &ack)
{
    const auto indirect =
            std::find_if(m_indirectProbes.begin(), m_indirectProbes.end(),
                         [&](const IndirectProbe &each) { return each.sequence == ack.sequence; });
    if (indirect != m_indirectProbes.end()) {
        Outgoing answer{indirect->requesterRoute, compose(Ack{indirect->requesterSequence})};
        m_indirectProbes.erase(indirect);
        return answer;
    }
    std::erase_if(m_probes, [&](const Probe &probe) { return probe.sequence == ack.sequence; });
    return std::nullopt;
}

} // namespace vanilladyke
