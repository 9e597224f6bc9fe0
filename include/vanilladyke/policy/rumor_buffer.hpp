#pragma once

#include <algorithm>
#include <bit>
#include <cstddef>
#include <cstdint>
#include <vector>

/// Spreads news through the fleet on the back of messages that are sent anyway.
namespace vanilladyke {

/// @brief How often one piece of news is passed on so that it reaches every node of a fleet with
/// overwhelming likelihood: a multiple of log2 of the fleet's size, as epidemic spreading needs.
[[nodiscard]] constexpr std::uint32_t rumorRepeats(std::size_t nodes)
{
    constexpr std::uint32_t RepeatsPerDoubling = 3;
    return RepeatsPerDoubling * static_cast<std::uint32_t>(std::bit_width(nodes + 1));
}

/// @brief News that is still being passed on, the least told first.
/// @tparam Item the news @tparam Key names what it is about; newer news of a key replaces older
template <typename Item, typename Key>
class RumorBuffer
{
public:
    /// @brief Starts to spread an item, in place of older news with the same key.
    void add(const Key &key, Item item)
    {
        std::erase_if(m_rumors, [&](const Rumor &rumor) { return rumor.key == key; });
        m_rumors.push_back({key, std::move(item), 0});
    }

    /// @brief The items for the next message, at most @p most; an item is forgotten after
    /// @p repeats messages.
    [[nodiscard]] std::vector<Item> take(std::size_t most, std::uint32_t repeats)
    {
        std::stable_sort(m_rumors.begin(), m_rumors.end(),
                         [](const Rumor &a, const Rumor &b) { return a.told < b.told; });
        std::vector<Item> items;
        for (std::size_t i = 0; i < std::min(most, m_rumors.size()); ++i) {
            ++m_rumors[i].told;
            items.push_back(m_rumors[i].item);
        }
        std::erase_if(m_rumors, [&](const Rumor &rumor) { return rumor.told >= repeats; });
        return items;
    }

    [[nodiscard]] bool empty() const { return m_rumors.empty(); }

private:
    struct Rumor
    {
        Key key;
        Item item;
        std::uint32_t told;
    };

    std::vector<Rumor> m_rumors;
};

} // namespace vanilladyke
