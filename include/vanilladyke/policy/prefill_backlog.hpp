#pragma once

#include "vanilladyke/policy/prefill_throughput.hpp"

#include <algorithm>
#include <array>
#include <cstddef>

namespace vanilladyke {

/// @brief Predicted prefill time of the requests that wait at an engine, by urgency.
///
/// Load pattern: long prompts of low urgency queue for seconds at every engine, and short urgent
/// requests overtake them there. If the whole backlog counted for an urgent request, it would leave
/// the engine that has its prompt cached because of a wait that it does not have. If only urgent
/// requests counted for a long prompt, it would queue behind a dozen others.
class PrefillBacklog
{
public:
    static constexpr int Urgencies = 10; ///< 0 is the most urgent

    void add(int urgency, Millis time) { at(urgency) += time; }
    /// @brief Subtracts time that was added before; never falls below zero by rounding.
    void remove(int urgency, Millis time)
    {
        at(urgency) = std::max(Millis::zero(), at(urgency) - time);
    }
    void operator+=(const PrefillBacklog &other)
    {
        for (int urgency = 0; urgency < Urgencies; ++urgency) {
            add(urgency, other.of(urgency));
        }
    }
    void operator-=(const PrefillBacklog &other)
    {
        for (int urgency = 0; urgency < Urgencies; ++urgency) {
            remove(urgency, other.of(urgency));
        }
    }
    [[nodiscard]] Millis of(int urgency) const { return m_parts.at(index(urgency)); }
    /// @brief Backlog ahead of a new request of that urgency.
    [[nodiscard]] Millis ahead(int urgency) const
    {
        Millis sum{};
        for (int each = 0; each <= std::min(urgency, Urgencies - 1); ++each) {
            sum += of(each);
        }
        return sum;
    }
    [[nodiscard]] Millis total() const { return ahead(Urgencies - 1); }

private:
    [[nodiscard]] static std::size_t index(int urgency)
    {
        return static_cast<std::size_t>(std::clamp(urgency, 0, Urgencies - 1));
    }
    [[nodiscard]] Millis &at(int urgency) { return m_parts.at(index(urgency)); }

    std::array<Millis, Urgencies> m_parts{};
};

} // namespace vanilladyke
