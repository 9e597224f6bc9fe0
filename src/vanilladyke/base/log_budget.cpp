#include "vanilladyke/base/log_budget.hpp"

#include <utility>

namespace vanilladyke {

LogBudget::Verdict LogBudget::take(std::string_view event, TimePoint now)
{
    Kind &kind = m_kinds[std::string(event)];
    const std::int64_t second = now.time_since_epoch() / std::chrono::seconds(1);
    Verdict verdict;
    if (second != kind.second) {
        verdict.omitted = std::exchange(kind.omitted, 0);
        kind.second = second;
        kind.lines = 0;
    }
    if (kind.lines >= LinesPerSecond) {
        ++kind.omitted;
        verdict.isWritten = false;
        return verdict;
    }
    ++kind.lines;
    return verdict;
}

} // namespace vanilladyke
