#include "vanilladyke/policy/membership.hpp"

#include <algorithm>
#include <utility>

namespace vanilladyke {

namespace {

/// Two probes a period notice a dead node among nine within a second, and keep the cost of a node
/// far below the 3 KB a second that it may spend on control.
constexpr int ProbesPerPeriod = 2;
constexpr int Helpers = 3;
constexpr std::size_t NewsPerMessage = 6;
constexpr std::size_t LeavingPerMessage = 8;
/// One probe in so many periods goes to an address with no living node behind it.
constexpr std::uint64_t StrangerEvery = 4;
/// Remembered so that one piece of news about an engine isn't spread again when it comes back.
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
    m_news.add(m_self.node, m_self);
}

std::vector<Outgoing> Membership::tick(TimePoint now, Random &random)
{
    std::vector<Outgoing> out;
    expire(now);
    askOthers(out, now, random);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_timing.probeEvery;
        startProbes(out, now, random);
    }
    return out;
}

std::vector<Outgoing> Membership::receive(const PeerMessage &message, const ReplyRoute &route,
                                          TimePoint now)
{
    const bool joins = !m_known.contains(message.from.node);
    absorb(message.from, now);
    const auto sender = m_known.find(message.from.node);
    if (sender != m_known.end() && sender->second.member.incarnation == message.from.incarnation) {
        sender->second.member.bundleVersion = message.from.bundleVersion;
    }
    for (const Member &member : message.news) {
        absorb(member, now);
    }
    for (const EngineId &engine : message.leavingEngines) {
        spreadLeaving(engine);
    }
    std::vector<Outgoing> out;
    if (const auto *ping = std::get_if<Ping>(&message.body)) {
        PeerMessage answer = compose(Ack{ping->sequence});
        // A node that just joined knows nobody: it is told of everyone once, not rumour by rumour.
        if (joins) {
            answer.news = members();
        }
        tellOfDoubt(answer, message.from.node);
        out.push_back({route, std::move(answer)});
    } else if (const auto *request = std::get_if<PingRequest>(&message.body)) {
        const std::uint64_t sequence = m_nextSequence++;
        m_relays.push_back({sequence, request->sequence, route, now + m_timing.probeEvery});
        out.push_back({request->target, compose(Ping{sequence})});
    } else if (const auto *ack = std::get_if<Ack>(&message.body)) {
        if (auto relayed = acknowledge(*ack)) {
            out.push_back(std::move(*relayed));
        }
    }
    return out;
}

void Membership::setPhase(Phase phase)
{
    if (m_self.phase != phase) {
        m_self.phase = phase;
        ++m_self.revision;
        m_news.add(m_self.node, m_self);
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
    if (std::find(m_leavingTold.begin(), m_leavingTold.end(), engine) != m_leavingTold.end()) {
        return;
    }
    if (m_leavingTold.size() >= LeavingRemembered) {
        m_leavingTold.erase(m_leavingTold.begin());
    }
    m_leavingTold.push_back(engine);
    m_leavingHeard.push_back(engine);
    m_leaving.add(engine, engine);
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
    const auto living = std::count_if(m_known.begin(), m_known.end(), [](const auto &entry) {
        return !isDead(entry.second.member);
    });
    return 1 + static_cast<std::size_t>(living);
}

std::vector<EngineId> Membership::takeLeaving()
{
    return std::exchange(m_leavingHeard, {});
}

std::vector<Member> Membership::takeChanges()
{
    return std::exchange(m_changes, {});
}

void Membership::absorb(const Member &news, TimePoint now)
{
    if (news.node == m_self.node) {
        defend(news);
        return;
    }
    const auto found = m_known.find(news.node);
    if (found == m_known.end()) {
        // A dead node that was never known is of no use, and would never be forgotten: each node
        // that has forgotten it would hear of it from one that has not.
        if (!isDead(news)) {
            change(m_known[news.node], news, now);
        }
    } else if (isNewer(news, found->second.member)) {
        change(found->second, news, now);
    }
}

void Membership::defend(const Member &news)
{
    const bool older = news.incarnation < m_self.incarnation;
    if (older || news.revision < m_self.revision || news.liveness == Liveness::Alive) {
        return;
    }
    // Someone missed an answer of ours and says that we are gone; left alone, the others would take
    // over our orders and count one node less. A higher revision overrides the rumour everywhere.
    m_self.revision = news.revision + 1;
    m_news.add(m_self.node, m_self);
}

void Membership::change(Known &known, const Member &to, TimePoint now)
{
    const bool visible = known.member.liveness != to.liveness || known.member.phase != to.phase
                         || known.member.incarnation != to.incarnation;
    known.member = to;
    known.deadline = now + (isDead(to) ? m_timing.rememberDeadFor : m_timing.suspectFor);
    m_news.add(to.node, to);
    if (visible) {
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
        if (probe.giveUpAt <= now && probe.node) {
            suspect(*probe.node, now);
        }
    }
    std::erase_if(m_probes, [&](const Probe &probe) { return probe.giveUpAt <= now; });
    std::erase_if(m_relays, [&](const Relay &relay) { return relay.forgetAt <= now; });
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
    const bool alone = alive == 0;
    if (alone || uniformBelow(random, StrangerEvery) == 0) {
        if (const std::optional<Endpoint> stranger = nextStranger(random)) {
            probe(out, *stranger, std::nullopt, now);
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

void Membership::askOthers(std::vector<Outgoing> &out, TimePoint now, Random &random)
{
    for (Probe &probe : m_probes) {
        if (probe.askedOthers || !probe.node || probe.askOthersAt > now) {
            continue;
        }
        probe.askedOthers = true;
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

std::optional<Endpoint> Membership::nextStranger(Random &random)
{
    std::vector<Endpoint> strangers = m_seeds;
    for (const auto &[node, known] : m_known) {
        std::erase(strangers, known.member.peers);
        if (isDead(known.member)) {
            strangers.push_back(known.member.peers);
        }
    }
    if (strangers.empty()) {
        return std::nullopt;
    }
    return strangers[uniformBelow(random, strangers.size())];
}

const Member *Membership::nextMember(Random &random)
{
    // Rounds in shuffled order: every member is probed once a round, so that the time until a dead
    // one is noticed has a bound, which independent draws would not give.
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
    const std::uint32_t repeats = rumorRepeats(m_known.size());
    PeerMessage message;
    message.from = m_self;
    message.news = m_news.take(NewsPerMessage, repeats);
    message.leavingEngines = m_leaving.take(LeavingPerMessage, repeats);
    message.load = m_load;
    message.body = std::move(body);
    return message;
}

void Membership::tellOfDoubt(PeerMessage &message, const NodeId &node) const
{
    // The rumour of its death may long have stopped spreading when a node that was cut off is back.
    // Unless it hears of it, it has no cause to object, and stays dead to the others for good.
    const auto found = m_known.find(node);
    if (found != m_known.end() && found->second.member.liveness != Liveness::Alive) {
        message.news.push_back(found->second.member);
    }
}

std::optional<Outgoing> Membership::acknowledge(const Ack &ack)
{
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay &each) {
        return each.sequence == ack.sequence;
    });
    if (relay != m_relays.end()) {
        Outgoing answer{relay->theirRoute, compose(Ack{relay->theirSequence})};
        m_relays.erase(relay);
        return answer;
    }
    std::erase_if(m_probes, [&](const Probe &probe) { return probe.sequence == ack.sequence; });
    return std::nullopt;
}

} // namespace vanilladyke
