#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

/// What the kept-cache stores hold, as their events tell.
///
/// Load pattern: each node sees a shared part too seldom to know from its own requests whether it
/// was saved. Saving with every request fills the store with parts that no other request has, which
/// push the shared ones out; saving never leaves engines to read them again. Following the store's
/// events tells all nodes the same: a part is saved when the store lacks it, and fetched when it
/// has it. The store lets only a few follow; the other nodes go by what nodes tell that they saved.
/// With a store in each data centre a part is kept by one of them, so that together they hold all.
namespace vanilladyke {

/// @brief The text under which cached work is found: one for each model and version of its weights,
/// and for each customer that shares with none.
[[nodiscard]] std::string cacheSalt(const ModelId &model, std::uint64_t weights,
                                    const CustomerId &isolated);

/// @brief What is known of a store itself.
enum class KeptCacheState {
    Down,     ///< it doesn't answer; asking it costs engines time
    Unknown,  ///< it is there, and this node can't follow its events
    Followed, ///< what is not in the view is not in the store
};

/// @brief Where a store is.
struct KeptStore
{
    Endpoint endpoint;
    DataCentreId dataCentre;
};

/// @brief A view of all stores. Pure; entries that a store's lost events should have removed age
/// out only by a new beginning, and a wrong one costs a vain fetch of a millisecond.
class KeptCacheView
{
public:
    /// About a hundred bytes each; beyond it nothing is learned until the store begins anew.
    static constexpr std::size_t MostParts = 65536;
    /// How long a part that some node saved counts as there, if its store can't be followed.
    static constexpr Duration ToldLife = std::chrono::seconds(40);

    /// @brief The stores that the configuration names; what is known of those that stay is kept.
    void setStores(const std::vector<KeptStore> &stores);
    /// @brief The store of a part: the one beside its home. @param home data centre
    /// @return none if there is no store
    [[nodiscard]] const KeptStore *storeOf(const DataCentreId &home) const;
    [[nodiscard]] std::size_t stores() const { return m_stores.size(); }

    /// @brief The store began anew, or nothing is known of its parts any more.
    void reset(const Endpoint &store, KeptCacheState state);
    /// @param tokens of the part that the store holds now; 0 if none
    void changed(const Endpoint &store, const std::string &salt, const std::string &part,
                 std::uint64_t tokens);
    /// @brief A node saves the part of this key.
    void toldSaved(std::uint64_t key, TimePoint now);
    [[nodiscard]] KeptCacheState state(const Endpoint &store) const;
    /// @brief Whether the part most likely is there.
    [[nodiscard]] bool holds(const Endpoint &store, const std::string &salt,
                             const std::string &part, TimePoint now) const;
    [[nodiscard]] std::size_t size() const;
    /// @brief The name under which nodes tell each other of a part.
    [[nodiscard]] static std::uint64_t keyOf(const std::string &salt, const std::string &part);

private:
    struct Known
    {
        KeptStore store;
        KeptCacheState state = KeptCacheState::Unknown;
        std::unordered_map<std::uint64_t, std::uint32_t> tokens; ///< by key
    };

    [[nodiscard]] const Known *find(const Endpoint &store) const;

    std::vector<Known> m_stores;
    std::unordered_map<std::uint64_t, TimePoint> m_told; ///< by key
};

} // namespace vanilladyke
