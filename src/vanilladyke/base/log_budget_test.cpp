#include "vanilladyke/base/log_budget.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

// Callers repeat at once and every repetition is refused. The lines of the refusals must neither
// grow without bound nor keep a line of another kind from being written.
TEST(LogBudget, BoundsEachKindByItselfAndTellsWhatWasLeftOut)
{
    LogBudget budget;
    std::uint32_t written = 0;
    for (int i = 0; i < 5000; ++i) {
        written += budget.take("refused", at(100)).isWritten ? 1 : 0;
    }
    EXPECT_EQ(written, LogBudget::LinesPerSecond);
    EXPECT_TRUE(budget.take("store_lost", at(100)).isWritten);
    const auto next = budget.take("refused", at(1000));
    EXPECT_TRUE(next.isWritten);
    EXPECT_EQ(next.omitted, 5000 - LogBudget::LinesPerSecond);
    EXPECT_EQ(budget.take("refused", at(2000)).omitted, 0U);
}

} // namespace
} // namespace vanilladyke
