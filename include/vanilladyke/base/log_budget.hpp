#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

/// Bounds how many lines of each kind of event a process logs.
///
/// Load pattern: a burst, or callers that repeat at once, makes one line for each refusal,
/// thousands a second; writing them takes the processor from the requests. Each kind of event has
/// its own budget, so that many lines of served requests don't take the place of the one that says
/// why another failed.
namespace vanilladyke {

/// @brief Counts the lines of a process by event. Pure; not safe for several threads.
class LogBudget
{
public:
    /// A node serves some sixty requests a second at its share of the largest deployment.
    static constexpr std::uint32_t LinesPerSecond = 200;

    /// @brief What became of a line.
    struct Verdict
    {
        bool isWritten = true;
        std::uint32_t omitted = 0; ///< lines of this kind that were left out in the second before
    };

    /// @brief Asks for one line of this kind.
    [[nodiscard]] Verdict take(std::string_view event, TimePoint now);

private:
    struct Kind
    {
        std::int64_t second = 0;
        std::uint32_t lines = 0;
        std::uint32_t omitted = 0;
    };

    std::unordered_map<std::string, Kind> m_kinds;
};

} // namespace vanilladyke
