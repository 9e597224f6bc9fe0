#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

/// Gossips updates through the fleet by piggybacking them on messages that are sent anyway.
namespace vanilladyke {

/// @brief How often a node sends one update so that it reaches every node of the fleet with high
/// probability: a multiple of log2 of the fleet's size, as epidemic dissemination requires.
[[nodiscard]] constexpr std::uint32_t gossipRepeats(std::size_t nodes)
{
    constexpr std::uint32_t RepeatsPerDoubling = 3;
    return RepeatsPerDoubling * static_cast<std::uint32_t>(std::bit_width(nodes + 1));
}

/// @brief Updates that are still being gossiped, the least often sent first.
/// @tparam Item the update
/// @tparam Key identifies the subject of an update; a newer update with the same key replaces an
/// older one
template <typename Item, typename Key>
class GossipBuffer
{
public:
    /// @brief Starts to gossip an item, in place of an older update with the same key.
    void add(const Key &key, Item item)
    {
        std::erase_if(m_updates, [&](const Update &update) { return update.key == key; });
        m_updates.push_back({key, std::move(item), 0});
    }

    /// @brief The items for the next message, at most @p most. An item is removed after @p repeats
    /// messages.
    [[nodiscard]] std::vector<Item> take(std::size_t most, std::uint32_t repeats)
    {
        std::stable_sort(m_updates.begin(), m_updates.end(), [](const Update &a, const Update &b) {
            return a.timesSent < b.timesSent;
        });
        std::vector<Item> items;
        for (std::size_t i = 0; i < std::min(most, m_updates.size()); ++i) {
            ++m_updates[i].timesSent;
            items.push_back(m_updates[i].item);
        }
        std::erase_if(m_updates, [&](const Update &update) { return update.timesSent >= repeats; });
        return items;
    }

    [[nodiscard]] bool empty() const { return m_updates.empty(); }

private:
    struct Update
    {
        Key key;
        Item item;
        std::uint32_t timesSent;
    };

    std::vector<Update> m_updates;
};

} // namespace vanilladyke
