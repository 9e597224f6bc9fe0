#pragma once

#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>

/// What the kept-cache store holds, as its events tell.
///
/// Load pattern: each node sees a shared part too seldom to know from its own requests whether it
/// was saved. Saving with every request fills the store with parts that no other request has, which
/// push the shared ones out; saving never leaves engines to read them again. Following the store's
/// events tells all nodes the same: a part is saved when the store lacks it, and fetched when it
/// has it.
namespace vanilladyke {

/// @brief The text under which cached work is found: one for each model and version of its weights,
/// and for each customer that shares with none.
[[nodiscard]] std::string cacheSalt(const ModelId &model, std::uint64_t weights,
                                    const CustomerId &isolated);

/// @brief What is known of the store itself.
enum class KeptCacheState {
    Down,     ///< it doesn't answer; asking it costs engines time
    Unknown,  ///< it is there, and this node can't follow its events
    Followed, ///< what is not in the view is not in the store
};

/// @brief A view of one store. Pure; entries that the store's lost events should have removed age
/// out only by a new beginning, and a wrong one costs a vain fetch of a millisecond.
class KeptCacheView
{
public:
    /// About a hundred bytes each; beyond it nothing is learned until the store begins anew.
    static constexpr std::size_t MostParts = 65536;

    /// @brief The store began anew, or nothing is known of its parts any more.
    void reset(KeptCacheState state);
    /// @param tokens of the part that the store holds now; 0 if none
    void changed(const std::string &salt, const std::string &part, std::uint64_t tokens);
    [[nodiscard]] KeptCacheState state() const { return m_state; }
    /// @brief Whether it is worth asking the store for the part.
    [[nodiscard]] bool mayHold(const std::string &salt, const std::string &part) const;
    [[nodiscard]] bool holds(const std::string &salt, const std::string &part) const;
    [[nodiscard]] std::size_t size() const { return m_tokens.size(); }

private:
    KeptCacheState m_state = KeptCacheState::Unknown;
    std::unordered_map<std::uint64_t, std::uint32_t> m_tokens; ///< by a hash of salt and part
};

} // namespace vanilladyke
