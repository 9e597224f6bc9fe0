#include "vanilladyke/node/node_list.hpp"

#include "vanilladyke/model/json_reader.hpp"

namespace vanilladyke {

namespace {

/// Nodes that start together register within this time. A node sends updates to all nodes in its
/// list, so that one listing by either of two nodes connects both.
constexpr Duration ListDelay = std::chrono::milliseconds(700);
/// For nodes that were cut off from all others when those started. Each listing costs a call per
/// node.
constexpr Duration ListInterval = std::chrono::minutes(5);

std::vector<Endpoint> endpointsOf(const std::vector<KeyedRecord> &nodes)
{
    std::vector<Endpoint> endpoints;
    for (const KeyedRecord &node : nodes) {
        Endpoint endpoint;
        if (parseEndpoint(node.value, &endpoint)) {
            endpoints.push_back(std::move(endpoint));
        }
    }
    return endpoints;
}

} // namespace

asio::awaitable<void> followNodeList(FollowContext &context, NodeIdentity self)
{
    bool isRegistered = false;
    std::uint64_t era = 0; // in which it is
    while (!context.isStopped) {
        if (!isRegistered || era != context.era.view().era) {
            KeyedRecord here{self.name, self.peers.str()};
            context.calls.count(StoreCall::Append, StoreTopic::Nodes, CallCause::Start);
            const auto appended =
                    co_await context.store.append(StateTopic::Nodes, std::move(here), std::nullopt);
            isRegistered = appended && appended->isAccepted;
            era = appended ? appended->era : era;
        }
        co_await context.pause(ListDelay);
        context.calls.count(StoreCall::List, StoreTopic::Nodes, CallCause::Follow);
        const auto newest = co_await context.store.newest(StateTopic::Nodes);
        if (newest) {
            context.listener.nodesListed(endpointsOf(newest->items));
        }
        if (isRegistered && newest) {
            co_await context.pauseInEra(ListInterval, era);
        }
    }
}

} // namespace vanilladyke
