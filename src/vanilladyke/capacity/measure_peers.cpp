#include "vanilladyke/capacity/measurements.hpp"
#include "vanilladyke/peers/codec.hpp"
#include "vanilladyke/peers/peer_transport.hpp"
#include "vanilladyke/policy/membership.hpp"

#include <ctime>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <thread>

namespace vanilladyke {

namespace {

constexpr Duration Step = std::chrono::milliseconds(100);
/// All nodes of a fleet that starts at once are news to all others; only when those rumours have
/// died down is the cost that of a steady day.
constexpr Duration Settle = std::chrono::seconds(150);
constexpr Duration Observe = std::chrono::seconds(20);
constexpr std::uint64_t Seed = 11;

/// What one node of a fleet costs in a second.
struct NodeCost
{
    double bytes = 0;
    double messages = 0;
    double processorMicros = 0;
};

/// Memberships in one process that hand each other encoded messages, in virtual time.
class MembershipFleet
{
public:
    explicit MembershipFleet(std::size_t size)
    {
        for (std::size_t i = 0; i < size; ++i) {
            Member self;
            self.node = NodeId("node-" + std::to_string(i));
            self.dataCentre = DataCentreId("ikeja-hall");
            self.peers = endpointOf(i);
            self.operators = endpointOf(i);
            self.incarnation = Incarnation{1'700'000'000'000'000 + i};
            self.phase = Phase::Ready;
            m_nodes.push_back(std::make_unique<Membership>(self, std::vector{endpointOf(0)}));
        }
    }

    void run(Duration span)
    {
        for (const TimePoint end = m_now + span; m_now < end; m_now += Step) {
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                deliver(i, m_nodes[i]->tick(m_now, m_random));
            }
        }
    }

    NodeCost cost()
    {
        run(Settle);
        m_bytes = 0;
        m_messages = 0;
        const std::clock_t before = std::clock();
        run(Observe);
        const double processor = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC * 1e6;
        const double nodeSeconds = static_cast<double>(m_nodes.size())
                                   * std::chrono::duration<double>(Observe).count();
        return {m_bytes / nodeSeconds, m_messages / nodeSeconds, processor / nodeSeconds};
    }

private:
    static Endpoint endpointOf(std::size_t index)
    {
        return {"127.0.0.1", static_cast<std::uint16_t>(index + 1)};
    }

    void deliver(std::size_t from, const std::vector<Outgoing> &outgoing)
    {
        for (const Outgoing &each : outgoing) {
            const std::string bytes = encode(each.message);
            m_bytes += static_cast<double>(bytes.size());
            ++m_messages;
            const auto *endpoint = std::get_if<Endpoint>(&each.to);
            const std::size_t to = endpoint != nullptr
                                           ? endpoint->port - 1U
                                           : std::stoul(std::get<ReplyRoute>(each.to).identity);
            const auto message = decode(bytes);
            deliver(to, m_nodes[to]->receive(*message, {std::to_string(from)}, m_now));
        }
    }

    std::vector<std::unique_ptr<Membership>> m_nodes;
    Random m_random{Seed};
    TimePoint m_now{};
    double m_bytes = 0;
    double m_messages = 0;
};

double residentBytes()
{
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

/// Starts a transport on a port that no earlier call took.
Endpoint startOnFreePort(PeerTransport &transport)
{
    static std::uint16_t port = 24'000;
    while (transport.start({"127.0.0.1", ++port})) {
    }
    return {"127.0.0.1", port};
}

/// Transports in this process that answer each ping.
class EchoFleet
{
public:
    EchoFleet(std::size_t size, const PeerKeys &keys)
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_echoes.push_back(std::make_unique<Echo>(keys));
            endpoints.push_back(startOnFreePort(m_echoes.back()->transport));
        }
    }

    std::vector<Endpoint> endpoints;

private:
    struct Echo
    {
        explicit Echo(const PeerKeys &keys)
            : transport(keys, [this](const PeerMessage &message, const ReplyRoute &route) {
                transport.send({route, {message.from, {}, {}, Ack{1}}});
            })
        {}

        PeerTransport transport;
    };

    std::vector<std::unique_ptr<Echo>> m_echoes;
};

/// Sends one ping to each endpoint and waits for all answers.
void exchangeAll(PeerTransport &from, const std::vector<Endpoint> &endpoints,
                 const std::atomic<std::size_t> &answers)
{
    const std::size_t wanted = answers + endpoints.size();
    Member self;
    self.node = NodeId("n");
    for (const Endpoint &endpoint : endpoints) {
        from.send({endpoint, {self, {}, {}, Ping{1}}});
    }
    while (answers < wanted) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

struct LinkCost
{
    double bytes = 0;             ///< of all connections, both ends
    double microsPerExchange = 0; ///< ping and answer, both ends
};

LinkCost linkCost(std::size_t links)
{
    constexpr int Rounds = 50;
    const PeerKeys keys = newPeerKeys();
    EchoFleet fleet(links, keys);
    std::atomic<std::size_t> answers{0};
    PeerTransport node(keys, [&](const PeerMessage &, const ReplyRoute &) { ++answers; });
    startOnFreePort(node);
    const double before = residentBytes();
    exchangeAll(node, fleet.endpoints, answers);
    LinkCost cost;
    cost.bytes = residentBytes() - before;
    const std::clock_t started = std::clock();
    for (int round = 0; round < Rounds; ++round) {
        exchangeAll(node, fleet.endpoints, answers);
    }
    cost.microsPerExchange = static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC * 1e6
                             / (static_cast<double>(links) * Rounds);
    return cost;
}

} // namespace

std::vector<Slope> measureMembership()
{
    const std::vector<double> sizes{9, 34, 100, 200};
    std::vector<NodeCost> costs;
    costs.reserve(sizes.size());
    for (const double size : sizes) {
        costs.push_back(MembershipFleet(static_cast<std::size_t>(size)).cost());
    }
    const auto slopeOf = [&](const std::string &cost, double NodeCost::*field) {
        std::size_t next = 0;
        return measureSlope("membership", cost, "nodes", sizes,
                            [&](double) { return costs[next++].*field; });
    };
    return {slopeOf("bytes_out_per_s", &NodeCost::bytes),
            slopeOf("messages_out_per_s", &NodeCost::messages),
            slopeOf("cpu_us_per_s", &NodeCost::processorMicros)};
}

std::vector<Slope> measurePeerLinks()
{
    const std::vector<double> sizes{8, 16, 32, 64};
    std::vector<LinkCost> costs;
    costs.reserve(sizes.size());
    for (const double size : sizes) {
        costs.push_back(linkCost(static_cast<std::size_t>(size)));
    }
    const auto slopeOf = [&](const std::string &cost, double LinkCost::*field) {
        std::size_t next = 0;
        return measureSlope("peer_links", cost, "links", sizes,
                            [&](double) { return costs[next++].*field; });
    };
    return {slopeOf("bytes", &LinkCost::bytes),
            slopeOf("cpu_us_per_exchange", &LinkCost::microsPerExchange)};
}

} // namespace vanilladyke
