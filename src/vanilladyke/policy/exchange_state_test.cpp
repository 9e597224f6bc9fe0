#include "vanilladyke/policy/exchange_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace vanilladyke {
namespace {

using enum ExchangeEvent;

constexpr std::array AllEvents{SendStarted, ConnectFailed, RefusalReceived, AnswerReceived,
                               ConnectionLost};

ExchangeState after(const std::vector<ExchangeEvent> &events)
{
    ExchangeState state;
    for (const ExchangeEvent event : events) {
        state.apply(event);
    }
    return state;
}

/// Reference model: derives whether the call may have run from the events, without the state
/// machine's flags.
bool mayHaveRun(const std::vector<ExchangeEvent> &events)
{
    bool open = false;
    bool may = false;
    bool answered = false;
    for (const ExchangeEvent event : events) {
        if (answered) {
            break;
        }
        if (event == SendStarted) {
            may = may || open;
            open = true;
        } else if (open) {
            may = may || event == ConnectionLost || event == AnswerReceived;
            answered = event == AnswerReceived;
            open = false;
        }
    }
    return may || open;
}

TEST(ExchangeState, EveryTransitionOfOneAttempt)
{
    EXPECT_EQ(after({}).stage(), ExchangeStage::NothingSent);
    EXPECT_EQ(after({SendStarted}).stage(), ExchangeStage::MayBeSent);
    EXPECT_EQ(after({SendStarted, ConnectFailed}).stage(), ExchangeStage::NothingSent);
    EXPECT_EQ(after({SendStarted, RefusalReceived}).stage(), ExchangeStage::Refused);
    EXPECT_EQ(after({SendStarted, AnswerReceived}).stage(), ExchangeStage::Answered);
    EXPECT_EQ(after({SendStarted, ConnectionLost}).stage(), ExchangeStage::MayBeSent);
}

// The first server resets the connection after receiving the call; the second has no slot and
// refuses it. A caller told "not run" would send the call again and it would run twice, so the
// outcome must stay unknown.
TEST(ExchangeState, ALostAttemptLeavesTheOutcomeUnknown)
{
    for (const ExchangeEvent last : AllEvents) {
        EXPECT_EQ(after({SendStarted, ConnectionLost, SendStarted, last}).ran(), Ran::Unknown);
    }
}

TEST(ExchangeState, AnEventWithoutAnAttemptChangesNothing)
{
    for (const ExchangeEvent event : AllEvents) {
        if (event != SendStarted) {
            EXPECT_EQ(after({event}).stage(), ExchangeStage::NothingSent);
            EXPECT_EQ(after({SendStarted, RefusalReceived, event}).stage(), ExchangeStage::Refused);
        }
        EXPECT_EQ(after({SendStarted, AnswerReceived, event}).stage(), ExchangeStage::Answered);
    }
}

TEST(ExchangeState, EverySequenceUpToSixEventsMatchesTheReference)
{
    std::vector<std::vector<ExchangeEvent>> sequences{{}};
    for (int length = 0; length <= 6; ++length) {
        std::vector<std::vector<ExchangeEvent>> longer;
        for (const auto &sequence : sequences) {
            ASSERT_EQ(after(sequence).ran() == Ran::Unknown, mayHaveRun(sequence));
            for (const ExchangeEvent event : AllEvents) {
                longer.push_back(sequence);
                longer.back().push_back(event);
            }
        }
        sequences = std::move(longer);
    }
}

RC_GTEST_PROP(ExchangeState, LongSequencesMatchTheReference, ())
{
    const auto events =
            *rc::gen::container<std::vector<ExchangeEvent>>(rc::gen::elementOf(AllEvents));
    RC_ASSERT((after(events).ran() == Ran::Unknown) == mayHaveRun(events));
}

TEST(ExchangeState, OnlyAClientErrorProvesRefusal)
{
    for (int status = 100; status < 600; ++status) {
        EXPECT_TRUE(!provesRefusal(status) || (status >= 400 && status < 500)) << status;
    }
    EXPECT_TRUE(provesRefusal(429));
    EXPECT_FALSE(
            provesRefusal(408)); // the server timed out on a call that it may have received in part
    EXPECT_FALSE(provesRefusal(409));
    EXPECT_FALSE(provesRefusal(503));
}

} // namespace
} // namespace vanilladyke
