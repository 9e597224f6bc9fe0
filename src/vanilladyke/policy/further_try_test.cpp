#include "vanilladyke/policy/further_try.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

const TimePoint now(std::chrono::hours(1));

FurtherTryState silentStream()
{
    FurtherTryState state;
    state.isRepeatable = true;
    state.sends = 1;
    state.mayHaveRun = 1;
    state.maxServers = 2;
    state.deadline = now + std::chrono::seconds(1);
    return state;
}

TEST(FurtherTry, IsAllowedBesideOrAfterATryThatMayHaveRun)
{
    EXPECT_EQ(denyFurtherTry(silentStream(), now), std::nullopt);
}

// Guards against ending a stream whose events have no ids in favour of a server that can't resume
// it.
TEST(FurtherTry, IsDeniedForAPartialAnswerWithoutAnEventId)
{
    FurtherTryState state = silentStream();
    state.hasPartialAnswer = true;
    EXPECT_EQ(denyFurtherTry(state, now), FurtherTryDenial::NoEventId);
    state.hasEventId = true;
    EXPECT_EQ(denyFurtherTry(state, now), std::nullopt);
}

// Guards against running a request twice that may run once only, and against not sending it again
// when every server so far refused it.
TEST(FurtherTry, OfAnUnsafeRequestIsAllowedOnlyIfItHasNotRun)
{
    FurtherTryState state = silentStream();
    state.isRepeatable = false;
    EXPECT_EQ(denyFurtherTry(state, now), FurtherTryDenial::NotRepeatable);
    state.mayHaveRun = 0;
    EXPECT_EQ(denyFurtherTry(state, now), std::nullopt);
}

TEST(FurtherTry, IsDeniedByEachLimit)
{
    const auto denialOf = [](auto change) {
        FurtherTryState state = silentStream();
        change(state);
        return denyFurtherTry(state, now);
    };
    using State = FurtherTryState;
    EXPECT_EQ(denialOf([](State &s) { s.isCallerGone = true; }), FurtherTryDenial::CallerGone);
    EXPECT_EQ(denialOf([](State &s) { s.deadline = now; }), FurtherTryDenial::Deadline);
    EXPECT_EQ(denialOf([](State &s) { s.isQuarantined = true; }), FurtherTryDenial::Quarantined);
    EXPECT_EQ(denialOf([](State &s) { s.connectFailures = MaxConnectFailures; }),
              FurtherTryDenial::ConnectFailures);
    EXPECT_EQ(denialOf([](State &s) { s.sends = MaxSends; }), FurtherTryDenial::Sends);
    EXPECT_EQ(denialOf([](State &s) { s.isBudgetSpent = true; }), FurtherTryDenial::BudgetSpent);
    EXPECT_EQ(denialOf([](State &s) { s.retriesRequests = false; }), FurtherTryDenial::SwitchedOff);
    EXPECT_EQ(denialOf([](State &s) { s.mayHaveRun = 2; }), FurtherTryDenial::Servers);
    EXPECT_EQ(denialOf([](State &s) { s.isAnswered = true; }), FurtherTryDenial::Answered);
}

// A partial answer is lost if no further try is made, so more tries are allowed for it.
TEST(FurtherTry, OfAPartialAnswerHasAHigherLimitOfSends)
{
    FurtherTryState state = silentStream();
    state.hasPartialAnswer = true;
    state.hasEventId = true;
    state.sends = MaxSends;
    EXPECT_EQ(denyFurtherTry(state, now), std::nullopt);
    state.sends = MaxStreamSends;
    EXPECT_EQ(denyFurtherTry(state, now), FurtherTryDenial::Sends);
}

// Guards against cutting a stream that a server which was left could continue.
TEST(FurtherTry, OfAPartialAnswerMayReturnToAServerThatWasLeft)
{
    FurtherTryState state = silentStream();
    state.mayHaveRun = state.maxServers;
    state.canReturn = true;
    EXPECT_EQ(denyFurtherTry(state, now), FurtherTryDenial::Servers);
    state.hasPartialAnswer = true;
    state.hasEventId = true;
    EXPECT_EQ(denyFurtherTry(state, now), std::nullopt);
    state.canReturn = false;
    EXPECT_EQ(denyFurtherTry(state, now), FurtherTryDenial::Servers);
}

// Guards against a stream that is cut at once because many servers refuse in the same moment.
TEST(FurtherTry, SendsOfAPartialAnswerAreSpreadOverSeconds)
{
    Duration total{};
    for (int sends = 1; sends < MaxStreamSends; ++sends) {
        EXPECT_GE(pauseBeforeSend(sends), pauseBeforeSend(sends - 1));
        total += pauseBeforeSend(sends);
    }
    EXPECT_EQ(pauseBeforeSend(MaxSends - 1), Duration::zero());
    EXPECT_GE(total, std::chrono::seconds(4));
}

} // namespace
} // namespace vanilladyke
