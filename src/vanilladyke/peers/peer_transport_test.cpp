#include "vanilladyke/peers/peer_transport.hpp"

#include <gtest/gtest.h>
#include <zmq.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <vector>

namespace vanilladyke {
namespace {

constexpr std::chrono::seconds ReceiveTimeout{30};

Member memberOf(const std::string &node)
{
    Member member;
    member.node = NodeId(node);
    return member;
}

PeerMessage ping(const std::string &from, std::uint64_t sequence)
{
    return {memberOf(from), {}, {}, Ping{sequence}};
}

/// Collects the messages that a transport receives.
class Mailbox
{
public:
    PeerTransport::Receiver receiver()
    {
        return [this](PeerMessage message, ReplyRoute route) {
            const std::lock_guard lock(m_mutex);
            m_received.push_back({std::move(route), std::move(message)});
            m_filled.notify_all();
        };
    }

    std::vector<Outgoing> waitFor(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_filled.wait_for(lock, ReceiveTimeout, [&] { return m_received.size() >= count; });
        return m_received;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::vector<Outgoing> m_received;
};

/// Binds to the first free port, counting up from a fixed one.
Endpoint startOnFreePort(PeerTransport &transport)
{
    for (std::uint16_t port = 23'000; port < 24'000; ++port) {
        Endpoint endpoint{"127.0.0.1", port};
        if (!transport.start(endpoint)) {
            return endpoint;
        }
    }
    ADD_FAILURE() << "no free port";
    return {};
}

TEST(PeerTransport, CarriesAMessageAndItsAnswer)
{
    const PeerKeys keys = newPeerKeys();
    Mailbox mailboxA;
    Mailbox mailboxB;
    PeerTransport a(keys, mailboxA.receiver());
    PeerTransport b(keys, mailboxB.receiver());
    startOnFreePort(a);
    const Endpoint endpointB = startOnFreePort(b);
    a.send({endpointB, ping("a", 7)});
    const auto atB = mailboxB.waitFor(1);
    ASSERT_EQ(atB.size(), 1U);
    EXPECT_EQ(std::get<Ping>(atB[0].message.body).sequence, 7U);
    b.send({std::get<ReplyRoute>(atB[0].to), {memberOf("b"), {}, {}, Ack{7}}});
    const auto atA = mailboxA.waitFor(1);
    ASSERT_EQ(atA.size(), 1U);
    EXPECT_EQ(std::get<Ack>(atA[0].message.body).sequence, 7U);
    EXPECT_GT(a.counts().bytesOut, 0U);
}

// Guards against accepting a process that knows the public key but not the secret key of the fleet.
// It could declare every node dead and engines leaving.
TEST(PeerTransport, RejectsClientsWithoutTheFleetsSecretKey)
{
    const PeerKeys keys = newPeerKeys();
    Mailbox mailbox;
    PeerTransport node(keys, mailbox.receiver());
    const Endpoint endpoint = startOnFreePort(node);

    const PeerKeys stranger = newPeerKeys();
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_serverkey, keys.publicKey);
    socket.set(zmq::sockopt::curve_publickey, stranger.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, stranger.secretKey);
    ASSERT_EQ(zmq_socket_monitor(socket.handle(), "inproc://monitor",
                                 ZMQ_EVENT_HANDSHAKE_FAILED_AUTH),
              0);
    zmq::socket_t monitor(context, zmq::socket_type::pair);
    monitor.set(zmq::sockopt::linger, 0);
    monitor.set(zmq::sockopt::rcvtimeo, 30'000);
    monitor.connect("inproc://monitor");
    socket.connect("tcp://127.0.0.1:" + std::to_string(endpoint.port));
    zmq::message_t refused;
    ASSERT_TRUE(monitor.recv(refused).has_value());

    Mailbox peerMailbox;
    PeerTransport peer(keys, peerMailbox.receiver());
    startOnFreePort(peer);
    peer.send({endpoint, ping("peer", 1)});
    const auto received = mailbox.waitFor(1);
    ASSERT_EQ(received.size(), 1U);
    EXPECT_EQ(received[0].message.from.node, NodeId("peer"));
}

TEST(PeerKeys, AreValidated)
{
    EXPECT_TRUE(isPeerKey(newPeerKeys().publicKey));
    EXPECT_FALSE(isPeerKey("short"));
    EXPECT_FALSE(isPeerKey(std::string(40, '"')));
}

} // namespace
} // namespace vanilladyke
