#pragma once

#include "vanilladyke/model/fleet.hpp"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

/// An index of the fleet's engines by model and by key, made once when the set of serving engines
/// changes, so that a decision need not look at every engine.
namespace vanilladyke {

/// @brief Groups that a model's engines are hashed into. A rendezvous order compares the groups
/// and then the members of few groups: 64 + 6,700 / 64 comparisons instead of 6,700.
inline constexpr std::size_t RendezvousGroups = 64;

/// @brief One engine as the rendezvous order sees it.
struct RendezvousMember
{
    EngineKey key{};
    std::uint32_t engine = 0; ///< index into Fleet::engines
};

/// @brief The engines that may be given work for one model, ordered by group.
struct ModelEngines
{
    std::vector<RendezvousMember> members;
    std::array<std::uint32_t, RendezvousGroups + 1> groupStart{}; ///< group g: [g, g + 1)
};

/// @brief Engines by model and by key.
class FleetIndex
{
public:
    explicit FleetIndex(const std::vector<EngineView> &engines);

    /// @brief The engines that serve the model; null if there are none.
    [[nodiscard]] const ModelEngines *serving(const ModelId &model) const;
    /// @brief Where the engine stands in Fleet::engines; none if the bundle has no such engine.
    [[nodiscard]] std::optional<std::uint32_t> position(EngineKey key) const;
    /// @brief The slots of the engine that has most.
    [[nodiscard]] std::uint32_t largestSlots() const { return m_largestSlots; }
    /// @brief A hash of all that went into the index.
    [[nodiscard]] std::uint64_t fingerprint() const { return m_fingerprint; }

private:
    std::uint64_t m_fingerprint;
    std::uint32_t m_largestSlots = 0;
    std::unordered_map<ModelId, ModelEngines> m_models;
    std::unordered_map<EngineKey, std::uint32_t> m_positions;
};

/// @brief The previous index if it still holds for these engines, else a new one.
[[nodiscard]] std::shared_ptr<const FleetIndex>
indexEngines(const std::vector<EngineView> &engines,
             const std::shared_ptr<const FleetIndex> &previous);

/// @brief Spreads the bits of a number; for hashes that must agree between nodes.
[[nodiscard]] constexpr std::uint64_t mixBits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15U;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

} // namespace vanilladyke
