#pragma once

#include "vanilladyke/base/time.hpp"

#include <array>
#include <cstdint>

/// Survival statistics of cached prefixes: the fraction still cached by evidence and age.
///
/// Load pattern: engines evict within seconds and report it late. Without an estimate, a node keeps
/// queueing requests at an engine that evicted the prefix long ago. The statistics are learned from
/// the number of cached prompt tokens in every answer. The prior is a half-life of 20 s, as
/// on engines with little memory.
namespace vanilladyke {

/// @brief Evidence that an engine has a prefix cached.
enum class Evidence {
    None,
    Known,           ///< the cache view has an entry
    Untrusted,       ///< the view has an entry, but updates of the engine have been lost since
    Preferred,       ///< no entry, but the preferred engine of the prefix for all nodes
    PreferredShared, ///< as Preferred, but only for the level that many prefixes share
    PreferredCold,   ///< a preferred engine without an entry, while other engines have one
};

/// @brief The fraction of assumed cached tokens that were actually cached, by evidence and age.
class Survival
{
public:
    /// @brief Returns the expected cached fraction, in [0, 1].
    [[nodiscard]] double fraction(Evidence evidence, Duration age) const;
    /// @brief Records one answer.
    /// @param assumed tokens assumed cached by the evidence
    /// @param cached tokens of them that were cached
    void learn(Evidence evidence, Duration age, std::uint32_t assumed, std::uint32_t cached);

private:
    static constexpr std::size_t EvidenceCount = 6;
    static constexpr std::size_t AgeClasses = 12;

    /// Exponentially decayed sums, so that the statistics follow the engines' memory pressure.
    struct Cell
    {
        double fractions = 0;
        double weight = 0;
    };

    [[nodiscard]] static std::size_t classOf(Duration age);

    std::array<std::array<Cell, AgeClasses>, EvidenceCount> m_cells{};
};

[[nodiscard]] const char *toString(Evidence evidence);

} // namespace vanilladyke
