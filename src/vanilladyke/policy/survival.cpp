#include "vanilladyke/policy/survival.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// Upper bound of the first age class; each further bound is twice the previous one.
constexpr Duration FirstClass = std::chrono::milliseconds(125);
constexpr double HalfLifeSeconds = 20;
/// Weight of the prior in answers: low, so that measurements outweigh it within a second of
/// traffic.
constexpr double PriorWeight = 4;
/// Decay factor of a cell per answer: a window of about the last 100 answers.
constexpr double Fading = 0.99;

double prior(Evidence evidence, Duration age)
{
    switch (evidence) {
    case Evidence::None:
        return 0;
    case Evidence::Known:
        return std::exp2(-std::chrono::duration<double>(age).count() / HalfLifeSeconds);
    case Evidence::Untrusted:
        return std::exp2(-std::chrono::duration<double>(age).count() / HalfLifeSeconds) / 2;
    case Evidence::Preferred:
    case Evidence::PreferredShared:
        return 0.5;
    case Evidence::PreferredCold:
        return 0.1;
    }
    return 0;
}

} // namespace

std::size_t Survival::classOf(Duration age)
{
    std::size_t index = 0;
    for (Duration end = FirstClass; age >= end && index + 1 < AgeClasses; end *= 2) {
        ++index;
    }
    return index;
}

double Survival::fraction(Evidence evidence, Duration age) const
{
    const Cell &cell = m_cells[static_cast<std::size_t>(evidence)][classOf(age)];
    const double sum = cell.fractions + PriorWeight * prior(evidence, age);
    return sum / (cell.weight + PriorWeight);
}

void Survival::learn(Evidence evidence, Duration age, std::uint32_t assumed, std::uint32_t cached)
{
    if (evidence == Evidence::None || assumed == 0) {
        return;
    }
    Cell &cell = m_cells[static_cast<std::size_t>(evidence)][classOf(age)];
    const double fraction = std::min(1.0, static_cast<double>(cached) / assumed);
    cell.fractions = cell.fractions * Fading + fraction;
    cell.weight = cell.weight * Fading + 1;
}

const char *toString(Evidence evidence)
{
    switch (evidence) {
    case Evidence::None:
        return "none";
    case Evidence::Known:
        return "known";
    case Evidence::Untrusted:
        return "doubted";
    case Evidence::Preferred:
        return "home";
    case Evidence::PreferredShared:
        return "shared_home";
    case Evidence::PreferredCold:
        return "cold_home";
    }
    return "none";
}

} // namespace vanilladyke
