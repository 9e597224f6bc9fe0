#pragma once

#include "vanilladyke/base/time.hpp"

#include <array>
#include <cstdint>

/// How much of a prefix is still cached some time after this node learned of it.
///
/// Load pattern: engines evict within seconds and tell of it late. Without this a node goes on
/// queueing at an engine that lost the prefix long ago. The figures are learned: every answer
/// says how many prompt tokens came from the cache. Until there are answers, half is taken to
/// survive 20 s, which is what engines with little memory showed in the measuring program.
namespace vanilladyke {

/// @brief Why an engine is believed to hold a prefix.
enum class Evidence {
    None,
    Known,      ///< the cache view says so
    Doubted,    ///< the view says so, but news of that engine got lost since
    Home,       ///< the view has nothing, but all nodes send this prefix there
    SharedHome, ///< as Home, for the level that many prefixes share only
    ColdHome,   ///< a home of which the view has nothing, while it knows other holders
};

/// @brief The fraction of a believed prefix that was really cached, by evidence and age.
class Survival
{
public:
    /// @brief The fraction to expect, in [0, 1].
    [[nodiscard]] double fraction(Evidence evidence, Duration age) const;
    /// @brief Takes in one answer. @param believed tokens that the evidence spoke for
    void learn(Evidence evidence, Duration age, std::uint32_t believed, std::uint32_t cached);

private:
    static constexpr std::size_t EvidenceCount = 6;
    static constexpr std::size_t AgeClasses = 12;

    /// Sums that fade, so that the figures follow the engines' memory pressure.
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
