#include "vanilladyke/policy/relay_nodes.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::string_view RelayPrefix = "relay/";

} // namespace

EngineId relayId(const Endpoint &relay)
{
    return EngineId(std::string(RelayPrefix) + relay.str());
}

bool isRelayId(const EngineId &id)
{
    return id.str().starts_with(RelayPrefix);
}

void RelayNodes::nodeSeen(std::uint64_t node, std::uint64_t dataCentre,
                          std::optional<Endpoint> endpoint, std::vector<std::uint64_t> unreached,
                          TimePoint now)
{
    const auto [known, isNew] = m_nodes.try_emplace(node);
    known->second = {dataCentre, std::move(endpoint), std::move(unreached), now};
    if (isNew) {
        removeExpired(now);
    }
}

void RelayNodes::removeExpired(TimePoint now)
{
    std::erase_if(m_nodes,
                  [now](const auto &item) { return now - item.second.seenAt > SeenTimeout; });
    std::erase_if(m_uses, [now](const auto &item) {
        return item.second.open == 0 && item.second.pausedUntil <= now;
    });
}

int RelayNodes::openAt(const Endpoint &relay) const
{
    const auto use = m_uses.find(relay);
    return use == m_uses.end() ? 0 : use->second.open;
}

bool RelayNodes::isUsable(const Node &node, std::uint64_t service, TimePoint now) const
{
    if (!node.endpoint || now - node.seenAt > SeenTimeout) {
        return false;
    }
    const auto use = m_uses.find(*node.endpoint);
    const bool isPaused = use != m_uses.end() && now < use->second.pausedUntil;
    const bool reaches = std::find(node.unreached.begin(), node.unreached.end(), service)
                         == node.unreached.end();
    return reaches && !isPaused && openAt(*node.endpoint) < MaxOpenPerNode;
}

std::optional<RelayNode> RelayNodes::choose(const ServiceId &service,
                                            const std::vector<Endpoint> &exclude, Random &random,
                                            TimePoint now) const
{
    const std::uint64_t name = hashOfName(service.str());
    std::vector<RelayNode> near;
    std::vector<RelayNode> far;
    for (const auto &[id, node] : m_nodes) {
        const bool isAsked =
                node.endpoint
                && std::find(exclude.begin(), exclude.end(), *node.endpoint) != exclude.end();
        if (!isAsked && isUsable(node, name, now)) {
            (node.dataCentre == m_dataCentre ? near : far).push_back({id, *node.endpoint});
        }
    }
    const std::vector<RelayNode> &from = near.empty() ? far : near;
    if (from.empty()) {
        return std::nullopt;
    }
    const RelayNode &first = from[uniformBelow(random, from.size())];
    const RelayNode &second = from[uniformBelow(random, from.size())];
    return openAt(second.endpoint) < openAt(first.endpoint) ? second : first;
}

void RelayNodes::sent(const Endpoint &relay)
{
    ++m_uses[relay].open;
}

void RelayNodes::ended(const Endpoint &relay)
{
    Use &use = m_uses[relay];
    use.open = std::max(0, use.open - 1);
}

void RelayNodes::failed(const Endpoint &relay, TimePoint now)
{
    m_uses[relay].pausedUntil = now + FailurePause;
}

} // namespace vanilladyke
