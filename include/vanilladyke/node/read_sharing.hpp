#pragma once

#include "vanilladyke/node/followed_topic.hpp"
#include "vanilladyke/node/store_calls.hpp"
#include "vanilladyke/policy/store_reader_selection.hpp"
#include "vanilladyke/traffic/asio.hpp"

#include <functional>

/// Decides whether a topic is read from the store or requested from a node that reads the store for
/// others (the reader).
namespace vanilladyke {

/// @brief Records read by another node, of each topic from a given offset on; none if that node
/// can't send them.
struct SharedUpdates
{
    std::optional<RecordRelay::Updates> configuration;
    std::optional<RecordRelay::Updates> backends;
};

/// @brief Requests updates from another node; none if it doesn't answer in time.
using AskPeer = std::function<asio::awaitable<std::optional<SharedUpdates>>(
        Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext)>;

/// @brief The readers known to this node and the way to ask them. Runs on the control thread.
struct ReadSharing
{
    /// Mean interval between requests to the reader.
    static constexpr Duration AskInterval = std::chrono::milliseconds(400);

    /// @brief Whether the reader's answers replace this node's own calls for the topic.
    /// @param limit age from which on the topic's freshness proof is too old for that
    [[nodiscard]] bool isShared(const FollowedTopic &topic, Duration limit) const;
    /// @brief Whether other nodes may request what this node reads.
    [[nodiscard]] bool readsForOthers() const;
    /// @brief Why this node reads the topic from the store itself.
    [[nodiscard]] CallCause readCause(const FollowedTopic &topic) const;

    StoreReaderSelection readers;
    AskPeer ask; ///< empty: other nodes can't be asked yet
};

} // namespace vanilladyke
