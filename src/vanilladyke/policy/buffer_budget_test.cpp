#include "vanilladyke/policy/buffer_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t Total = 48U << 20U;
constexpr std::size_t LargeBytes = 4U << 20U;
constexpr std::size_t SmallBytes = 10'000;

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

BodyEntry enter(BufferBudget &budget, std::size_t bytes, int until = 5000)
{
    return budget.enter(bytes, at(until), at(0)).entry;
}

// 32 bodies of 4 MB come at once, and each share is held for 400 ms. Without the account they take
// 128 MB together.
TEST(BufferBudget, ReplayOfLargeBodiesThatComeTogetherStaysWithinTheBudget)
{
    BufferBudget budget(Total);
    std::multimap<int, BufferBudget::Ticket> ends; // by when each share is given back
    std::vector<BufferBudget::Ticket> order;
    for (int i = 0; i < 32; ++i) {
        const auto admission = budget.enter(LargeBytes, at(5000), at(0));
        ASSERT_NE(admission.entry, BodyEntry::Refused);
        if (admission.entry == BodyEntry::Granted) {
            ends.emplace(400, 0);
        }
    }
    EXPECT_EQ(ends.size(), 6U);
    int last = 0;
    while (!ends.empty()) {
        last = ends.begin()->first;
        ends.erase(ends.begin());
        budget.recordHold(BodyKind::Large, milliseconds(400));
        for (const auto ticket : budget.release(BodyKind::Large, LargeBytes)) {
            order.push_back(ticket);
            ends.emplace(last + 400, ticket);
        }
        EXPECT_LE(budget.held(), Total / 2);
    }
    EXPECT_EQ(order.size(), 26U);
    EXPECT_TRUE(std::is_sorted(order.begin(), order.end())) << "in the order of arrival";
    EXPECT_EQ(last, 6 * 400);
    EXPECT_EQ(budget.held(), 0U);
}

// A queue of large bodies would hold up the many small ones behind it.
TEST(BufferBudget, SmallBodiesDoNotWaitBehindLargeOnes)
{
    BufferBudget budget(Total);
    while (enter(budget, LargeBytes) == BodyEntry::Granted) {
    }
    for (int i = 0; i < 1000; ++i) {
        EXPECT_EQ(enter(budget, SmallBytes), BodyEntry::Granted);
    }
}

// Small bodies that come without end would use each share that becomes free.
TEST(BufferBudget, LargeBodiesAreNotStarvedBySmallOnes)
{
    BufferBudget budget(Total);
    std::size_t small = 0;
    while (enter(budget, SmallBytes) == BodyEntry::Granted) {
        ++small;
    }
    EXPECT_GT(small * SmallBytes, Total - SmallBytes);
    const auto large = budget.enter(LargeBytes, at(5000), at(0));
    ASSERT_EQ(large.entry, BodyEntry::Waits);
    for (std::size_t i = 0; i < small; ++i) {
        const auto granted = budget.release(BodyKind::Small, SmallBytes);
        if (std::find(granted.begin(), granted.end(), large.ticket) != granted.end()) {
            EXPECT_LE(i * SmallBytes, LargeBytes + SmallBytes);
            return;
        }
        static_cast<void>(enter(budget, SmallBytes)); // another one comes at once
    }
    FAIL() << "the large body got no share";
}

// A body that waits beyond its time would only keep its caller from another node.
TEST(BufferBudget, ABodyThatWouldWaitTooLongIsRefusedAtOnce)
{
    BufferBudget budget(Total);
    budget.recordHold(BodyKind::Large, milliseconds(1000));
    while (enter(budget, LargeBytes, 700) == BodyEntry::Granted) {
    }
    EXPECT_EQ(enter(budget, LargeBytes, 150), BodyEntry::Refused);
    EXPECT_EQ(enter(budget, LargeBytes, 1000), BodyEntry::Waits);
    EXPECT_EQ(enter(budget, Total + 1, 100'000), BodyEntry::Refused);
}

// What waits holds the buffers of its connection.
TEST(BufferBudget, TheNumberOfBodiesThatWaitIsBounded)
{
    BufferBudget budget(Total);
    while (enter(budget, LargeBytes) != BodyEntry::Refused) {
    }
    EXPECT_EQ(budget.waiting(), Total / 4 / BufferBudget::WaitingBody);
}

// A body of the largest size, alone in a small process, would wait forever.
TEST(BufferBudget, ABodyLargerThanThePartForSuchIsReadAlone)
{
    BufferBudget budget(LargeBytes);
    EXPECT_EQ(enter(budget, LargeBytes), BodyEntry::Granted);
    EXPECT_EQ(enter(budget, LargeBytes), BodyEntry::Waits);
}

// Answers that are kept take the place of bodies, and the other way round.
TEST(BufferBudget, AnswersAndBodiesHaveOneAccount)
{
    BufferBudget budget(Total);
    budget.keepAnswer(Total / 2);
    EXPECT_TRUE(budget.hasRoomForAnswers());
    EXPECT_EQ(enter(budget, Total / 2), BodyEntry::Granted);
    EXPECT_TRUE(budget.hasRoomForAnswers());
    EXPECT_EQ(enter(budget, SmallBytes), BodyEntry::Granted);
    EXPECT_FALSE(budget.hasRoomForAnswers());
    static_cast<void>(budget.release(BodyKind::Large, Total / 2));
    budget.keepAnswer(Total / 4);
    const auto next = budget.enter(LargeBytes * 3, at(5000), at(0));
    EXPECT_EQ(next.entry, BodyEntry::Waits);
    EXPECT_EQ(budget.dropAnswer(Total / 4), std::vector{next.ticket});
}

// Faulty servers send answers that don't end, on many connections at once. Guards against a process
// that is ended because each answer is within a limit of its own, and against ordinary answers that
// are given up because of them.
TEST(BufferBudget, AnswersThatDoNotEndLeaveRoomForOrdinaryOnes)
{
    constexpr std::size_t Budget = 40U << 20U;
    constexpr std::size_t Piece = 16U << 10U;
    for (const std::size_t count : {1U, 10U, 100U, 1000U}) {
        BufferBudget budget(Budget);
        std::vector<std::size_t> answers(count, 0);
        for (bool grows = true; grows;) {
            grows = false;
            for (std::size_t &answer : answers) {
                if (answer + Piece <= budget.largestAnswer()) {
                    answer += Piece;
                    budget.keepAnswer(Piece);
                    grows = true;
                }
            }
        }
        EXPECT_LE(budget.held(), Budget / 2 + count * BufferBudget::SmallAnswer) << count;
        EXPECT_GE(budget.largestAnswer(), BufferBudget::SmallAnswer) << count;
    }
}

// A caller that leaves while its body waits at the front must not hold up the next one.
TEST(BufferBudget, ABodyThatWaitsNoLongerLetsTheNextOnePass)
{
    BufferBudget budget(Total);
    budget.keepAnswer(Total - LargeBytes);
    const auto first = budget.enter(2 * LargeBytes, at(5000), at(0));
    const auto second = budget.enter(LargeBytes, at(5000), at(0));
    EXPECT_EQ(second.entry, BodyEntry::Waits);
    EXPECT_EQ(budget.withdraw(first.ticket), std::vector{second.ticket});
}

} // namespace
} // namespace vanilladyke
