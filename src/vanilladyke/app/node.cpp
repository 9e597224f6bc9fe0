#include "vanilladyke/app/node.hpp"

#include "vanilladyke/app/peer_setup.hpp"
#include "vanilladyke/app/shutdown.hpp"
#include "vanilladyke/base/log.hpp"
#include "vanilladyke/control/dump_state.hpp"
#include "vanilladyke/control/snapshot_stores.hpp"

namespace vanilladyke {

namespace {

constexpr std::size_t InboxCapacity = 65'536;
/// 262,144 entries of 32 bytes: with two holders each, prefixes of 67 million tokens in blocks of
/// 512. This is a quarter of a node's memory budget for control; with half of it the total in
/// docs/CAPACITY.md was 33 MB, above the budget of 32 MB.
constexpr std::size_t CacheViewBytes = 8U << 20U;
constexpr std::string_view ClaimStream = "claims";
/// Outcomes that are not in the log when a node stops stay "unknown" for all later repeats of
/// their requests.
constexpr Duration FlushTimeout = std::chrono::seconds(5);

FieldError addressUnavailable(const std::string &field, const Endpoint &endpoint)
{
    return {field, endpoint.str(), "the address can't be bound"};
}

LogClient claimStream(const PlatformSettings &platform)
{
    return {platform.log, std::string(ClaimStream)};
}

} // namespace

Node::Node(const HostSettings &settings, const PeerKeys &peerKeys)
    : m_settings(settings)
    , m_inbox(InboxCapacity)
    , m_cacheView(CacheViewBytes)
    , m_claimClient(m_inbox)
    , m_bundleLog(settings.platform, m_inbox)
    , m_transport(peerKeys,
                  [this](PeerMessage message, ReplyRoute route) {
                      m_inbox.post(PeerMessageReceived{std::move(message), std::move(route)});
                  })
    , m_orderSender(settings.backendsTls)
    , m_bundles(bundleControl(settings, m_bundleLog), m_board, m_fleet)
    , m_bundleSnapshot(m_bundles)
    , m_members(
              makeMembership(settings, std::chrono::system_clock::now()),
              [this](Outgoing outgoing) { send(std::move(outgoing)); }, m_inbox,
              Random(entropySeed()))
    , m_cache(m_cacheView)
    , m_orders(settings.node, m_engines, m_orderSender)
    , m_claims(ProcessId(newUuid()), settings.node, m_claimIo)
    , m_snapshots({m_bundleSnapshot.store(), cacheViewStore(m_cacheView, m_cache)},
                  [this](Outgoing outgoing) { send(std::move(outgoing)); })
    , m_operators(makeOperatorContext())
    , m_callers({m_fleet, m_cacheView, m_inbox}, m_metrics, makeCallerOptions())
{}

std::optional<FieldError> Node::bind()
{
    if (m_settings.peers) {
        const Endpoint &listen = m_settings.peers->listen;
        if (const auto refused = m_transport.start(listen)) {
            return FieldError{"peers.listen", listen.str(), *refused};
        }
    }
    if (!m_operators.bind(m_settings.operators)) {
        return addressUnavailable("operators", m_settings.operators);
    }
    if (!m_callers.tlsUsable()) {
        return FieldError{"callers_tls", m_settings.callersTls.certificate,
                          "these PEM files hold no certificate with a matching private key"};
    }
    if (!m_callers.bind(m_settings.callers)) {
        return addressUnavailable("callers", m_settings.callers);
    }
    return std::nullopt;
}

void Node::run(const sigset_t &signals)
{
    startControl();
    startPlatform();
    std::thread callers([this] { m_callers.run(); });
    std::thread operators([this] { m_operators.run(); });
    LogEvent("serving").field("callers", m_settings.callers.str());
    waitForSignal(signals);
    m_inbox.post(StopRequested{});
    shutDown(m_callers, signals, m_settings.balancerLag);
    callers.join();
    if (!m_claimIo.flush(MonotonicClock::now() + FlushTimeout)) {
        LogEvent("claims_unflushed", Severity::Warning).field("within", FlushTimeout);
    }
    m_operators.stop();
    operators.join();
}

void Node::startControl()
{
    m_control.emplace(m_inbox, m_fleet, m_bundles, m_members, m_engines, m_cache, m_orders,
                      m_claims, m_snapshots);
    m_poller.emplace(m_fleet, m_inbox, m_settings.backendsTls);
}

void Node::startPlatform()
{
    m_bundleLog.startReading();
    if (!m_settings.platform) {
        return;
    }
    m_claimLog.emplace(claimStream(*m_settings.platform), claimStream(*m_settings.platform),
                       m_claimIo, m_inbox, m_metrics);
    if (m_settings.platform->hosts) {
        m_hostList.emplace(*m_settings.platform->hosts, m_fleet, m_inbox);
    }
}

OperatorContext Node::makeOperatorContext()
{
    OperatorContext context = operatorContext(m_settings, m_fleet, m_board, m_metrics);
    context.stateDump = [this] { return dumpState(m_fleet, m_cacheView); };
    return context;
}

CallerServerOptions Node::makeCallerOptions()
{
    return {m_settings.callersTls.certificate, m_settings.callersTls.privateKey,
            m_settings.backendsTls, m_settings.streamKey,
            m_settings.platform ? &m_claimClient : nullptr};
}

} // namespace vanilladyke
