#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

/// Tracks the contents of the kept-cache stores from their events.
///
/// Load pattern: each node sees a given shared part too rarely to tell from its own requests
/// whether it was saved. Saving with every request fills the store with parts that no other request
/// has and evicts the shared ones; never saving makes engines prefill them again. Following the
/// store's events gives all nodes the same view: a part is saved if the store lacks it, and fetched
/// if the store has it. A store accepts only a few followers; the other nodes rely on updates of
/// nodes that saved a part. With a store in each data centre, each part is kept by only one of
/// them, so that together they hold all.
namespace vanilladyke {

/// @brief Namespace of cached work: one for each model, version of its weights and group of
/// customers that share cached work. @param group see RouteTable::cacheGroup()
[[nodiscard]] std::string cacheSalt(const ModelId &model, std::uint64_t weights,
                                    const std::string &group);

/// @brief Availability of a store.
enum class KeptCacheState {
    Down,     ///< does not answer; requests to it delay engines
    Unknown,  ///< available, but this node cannot follow its events
    Followed, ///< the view is complete
};

/// @brief Location of a store.
struct KeptStore
{
    Endpoint endpoint;
    DataCentreId dataCentre;
};

/// @brief A view of all stores. Pure.
/// If the event that removes an entry is lost, the entry stays until the store is reset; a wrong
/// entry costs a failed fetch of a millisecond.
class KeptCacheView
{
public:
    /// About a hundred bytes each; when full, new parts are ignored until the store is reset.
    static constexpr std::size_t MaxParts = 65536;
    /// How long a part that a node saved is assumed to be in a store that cannot be followed.
    static constexpr Duration SavedLifetime = std::chrono::seconds(40);

    /// @brief Sets the configured stores; the state of those that remain is kept.
    void setStores(const std::vector<KeptStore> &stores);
    /// @brief The store that keeps a part: the one in the data centre of its preferred engine.
    /// @param preferredDataCentre that data centre
    /// @return none if there is no store
    [[nodiscard]] const KeptStore *storeOf(const DataCentreId &preferredDataCentre) const;
    [[nodiscard]] std::size_t stores() const { return m_stores.size(); }

    /// @brief Clears the entries of a store: it restarted, or its contents are unknown.
    void reset(const Endpoint &store, KeptCacheState state);
    /// @param tokens of the part in the store now; 0 if none
    void changed(const Endpoint &store, const std::string &salt, const std::string &part,
                 std::uint64_t tokens);
    /// @brief Records that a node saves the part with this key.
    void recordSaved(std::uint64_t key, TimePoint now);
    [[nodiscard]] KeptCacheState state(const Endpoint &store) const;
    /// @brief Whether the part is predicted to be in the store.
    [[nodiscard]] bool holds(const Endpoint &store, const std::string &salt,
                             const std::string &part, TimePoint now) const;
    [[nodiscard]] std::size_t size() const;
    /// @brief Hash that identifies a part in updates between nodes.
    [[nodiscard]] static std::uint64_t keyOf(const std::string &salt, const std::string &part);

private:
    struct TrackedStore
    {
        KeptStore store;
        KeptCacheState state = KeptCacheState::Unknown;
        std::unordered_map<std::uint64_t, std::uint32_t> tokens; ///< by key
    };

    [[nodiscard]] const TrackedStore *find(const Endpoint &store) const;

    std::vector<TrackedStore> m_stores;
    std::unordered_map<std::uint64_t, TimePoint> m_saved; ///< by key
};

} // namespace vanilladyke
