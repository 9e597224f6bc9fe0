#include "vanilladyke/peers/peer_transport.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/peers/codec.hpp"
#include "vanilladyke/peers/curve_authenticator.hpp"

#include <zmq.hpp>
#include <zmq_addon.hpp>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace vanilladyke {

namespace {

constexpr std::size_t BinaryKeyBytes = 32;
constexpr std::size_t TextKeyBytes = 40;
/// Kept small: messages queued for a peer that does not read are stale when they are delivered.
constexpr int MaxQueuedMessages = 64;
/// A connection is replaced if messages were sent on it and none was received for this long. A
/// device on the path may have dropped its connection state while new connections work. TCP alone
/// detects this only after many minutes, and the peer would count as dead all that time.
constexpr Duration UnansweredTimeout = std::chrono::milliseconds(1500);
/// Connections that were not used for this long are closed. Among 410 nodes each node would
/// otherwise hold a connection to every other, at 61 KB each. With four probes a second this limits
/// them to 120 connections; among nine nodes no connection is ever idle for this long.
constexpr Duration IdleTimeout = std::chrono::seconds(30);
constexpr std::chrono::milliseconds PollTimeout{250};

std::string addressOf(const Endpoint &endpoint)
{
    const bool v6 = endpoint.host.find(':') != std::string::npos;
    const std::string host = v6 ? "[" + endpoint.host + "]" : endpoint.host;
    return "tcp://" + host + ":" + std::to_string(endpoint.port);
}

/// An outgoing connection.
struct Link
{
    zmq::socket_t socket;
    TimePoint lastUse;
    TimePoint unansweredSince = TimePoint::max(); ///< first message sent since the last receipt
};

/// Counters, written by the transport thread and read by other threads.
struct Counters
{
    std::atomic<std::uint64_t> messagesOut{0};
    std::atomic<std::uint64_t> bytesOut{0};
    std::atomic<std::uint64_t> messagesIn{0};
    std::atomic<std::uint64_t> bytesIn{0};
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> replaced{0};
};

void signalWake(int descriptor)
{
    const std::uint64_t one = 1;
    static_cast<void>(write(descriptor, &one, sizeof one));
}

} // namespace

PeerKeys newPeerKeys()
{
    std::array<char, TextKeyBytes + 1> publicKey{};
    std::array<char, TextKeyBytes + 1> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return {publicKey.data(), secretKey.data(), {}};
}

bool isPeerKey(const std::string &text)
{
    std::array<std::uint8_t, BinaryKeyBytes> binary{};
    return text.size() == TextKeyBytes && zmq_z85_decode(binary.data(), text.c_str()) != nullptr;
}

std::string publicPeerKey(const std::string &secretKey)
{
    std::array<char, TextKeyBytes + 1> publicKey{};
    const bool derived =
            isPeerKey(secretKey) && zmq_curve_public(publicKey.data(), secretKey.c_str()) == 0;
    return derived ? publicKey.data() : "";
}

struct PeerTransport::Private
{
    Private(PeerKeys peerKeys, Receiver onMessage)
        : keys(std::move(peerKeys))
        , receiver(std::move(onMessage))
        , authenticator(context, {keys.publicKey, keys.formerPublicKey})
        , router(context, zmq::socket_type::router)
        , wake(eventfd(0, EFD_NONBLOCK))
    {}

    ~Private() { close(wake); }

    void run(const std::stop_token &stop);
    void pollOnce();
    void sendQueued();
    void sendTo(const Outgoing &outgoing);
    Link &linkTo(const Endpoint &endpoint);
    void readRouter();
    void readLink(Link &link);
    void deliver(const zmq::message_t &frame, ReplyRoute route);
    void closeUnresponsiveAndIdleLinks();

    PeerKeys keys;
    Receiver receiver;
    zmq::context_t context;
    CurveAuthenticator authenticator;
    zmq::socket_t router;
    int wake;
    std::map<Endpoint, Link> links; ///< accessed by the transport thread only
    Counters counters;

    std::mutex mutex;
    std::vector<Outgoing> queued;
    std::jthread thread;
};

void PeerTransport::Private::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        try {
            pollOnce();
        } catch (const zmq::error_t &error) {
            if (error.num() != EINTR) {
                LogEvent("peer_transport_error", Severity::Error).field("reason", error.what());
            }
        }
    }
}

void PeerTransport::Private::pollOnce()
{
    std::vector<zmq::pollitem_t> items{
            {nullptr, wake, ZMQ_POLLIN, 0},
            {authenticator.socket().handle(), 0, ZMQ_POLLIN, 0},
            {router.handle(), 0, ZMQ_POLLIN, 0},
    };
    std::vector<Link *> polled;
    for (auto &[endpoint, link] : links) {
        items.push_back({link.socket.handle(), 0, ZMQ_POLLIN, 0});
        polled.push_back(&link);
    }
    const std::size_t fixed = items.size() - polled.size();
    zmq::poll(items, PollTimeout);
    if (items[1].revents != 0) {
        authenticator.answer();
    }
    if (items[2].revents != 0) {
        readRouter();
    }
    for (std::size_t i = 0; i < polled.size(); ++i) {
        if (items[fixed + i].revents != 0) {
            readLink(*polled[i]);
        }
    }
    if (items[0].revents != 0) {
        sendQueued();
    }
    closeUnresponsiveAndIdleLinks();
}

void PeerTransport::Private::sendQueued()
{
    std::uint64_t wakes = 0;
    static_cast<void>(read(wake, &wakes, sizeof wakes));
    std::vector<Outgoing> batch;
    {
        const std::lock_guard lock(mutex);
        batch.swap(queued);
    }
    for (const Outgoing &outgoing : batch) {
        sendTo(outgoing);
    }
}

void PeerTransport::Private::sendTo(const Outgoing &outgoing)
{
    const std::string bytes = encode(outgoing.message);
    ++counters.messagesOut;
    counters.bytesOut += bytes.size();
    const auto flags = zmq::send_flags::dontwait;
    if (const auto *route = std::get_if<ReplyRoute>(&outgoing.to)) {
        const std::array<zmq::const_buffer, 2> frames{zmq::buffer(route->identity),
                                                      zmq::buffer(bytes)};
        static_cast<void>(zmq::send_multipart(router, frames, flags));
        return;
    }
    Link &link = linkTo(std::get<Endpoint>(outgoing.to));
    const TimePoint now = MonotonicClock::now();
    link.lastUse = now;
    link.unansweredSince = std::min(link.unansweredSince, now);
    static_cast<void>(link.socket.send(zmq::buffer(bytes), flags));
}

Link &PeerTransport::Private::linkTo(const Endpoint &endpoint)
{
    const auto found = links.find(endpoint);
    if (found != links.end()) {
        return found->second;
    }
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
    socket.set(zmq::sockopt::rcvhwm, MaxQueuedMessages);
    socket.set(zmq::sockopt::curve_serverkey, keys.publicKey);
    socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
    socket.connect(addressOf(endpoint));
    Link link{std::move(socket), MonotonicClock::now()};
    return links.emplace(endpoint, std::move(link)).first->second;
}

void PeerTransport::Private::readRouter()
{
    std::vector<zmq::message_t> frames;
    while (zmq::recv_multipart(router, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
        if (frames.size() == 2) {
            deliver(frames[1], {frames[0].to_string()});
        } else {
            ++counters.malformed;
        }
        frames.clear();
    }
}

void PeerTransport::Private::readLink(Link &link)
{
    zmq::message_t frame;
    while (link.socket.recv(frame, zmq::recv_flags::dontwait)) {
        link.unansweredSince = TimePoint::max();
        deliver(frame, {});
    }
}

void PeerTransport::Private::deliver(const zmq::message_t &frame, ReplyRoute route)
{
    ++counters.messagesIn;
    counters.bytesIn += frame.size();
    auto message = decode(frame.to_string_view());
    if (!message) {
        ++counters.malformed;
        LogEvent("peer_message_refused", Severity::Warning).field("reason", message.error().reason);
        return;
    }
    receiver(std::move(*message), std::move(route));
}

void PeerTransport::Private::closeUnresponsiveAndIdleLinks()
{
    const TimePoint now = MonotonicClock::now();
    std::erase_if(links, [&](const auto &entry) {
        const Link &link = entry.second;
        const bool unanswered = link.unansweredSince != TimePoint::max()
                                && now - link.unansweredSince > UnansweredTimeout;
        counters.replaced += unanswered ? 1 : 0;
        return unanswered || now - link.lastUse > IdleTimeout;
    });
}

PeerTransport::PeerTransport(PeerKeys keys, Receiver receiver)
    : m_private(std::make_unique<Private>(std::move(keys), std::move(receiver)))
{}

PeerTransport::~PeerTransport()
{
    m_private->thread.request_stop();
    signalWake(m_private->wake);
    if (m_private->thread.joinable()) {
        m_private->thread.join();
    }
}

std::optional<std::string> PeerTransport::start(const Endpoint &endpoint)
{
    zmq::socket_t &router = m_private->router;
    try {
        router.set(zmq::sockopt::linger, 0);
        router.set(zmq::sockopt::sndhwm, MaxQueuedMessages);
        router.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(MaxMessageBytes));
        router.set(zmq::sockopt::curve_server, 1);
        router.set(zmq::sockopt::curve_secretkey, m_private->keys.secretKey);
        router.bind(addressOf(endpoint));
    } catch (const zmq::error_t &error) {
        return error.what();
    }
    m_private->thread = std::jthread(
            [state = m_private.get()](const std::stop_token &stop) { state->run(stop); });
    return std::nullopt;
}

void PeerTransport::send(Outgoing outgoing)
{
    {
        const std::lock_guard lock(m_private->mutex);
        m_private->queued.push_back(std::move(outgoing));
    }
    signalWake(m_private->wake);
}

TransportCounts PeerTransport::counts() const
{
    const Counters &counters = m_private->counters;
    return {counters.messagesOut, counters.bytesOut,  counters.messagesIn,
            counters.bytesIn,     counters.malformed, counters.replaced};
}

} // namespace vanilladyke
