#include "vanilladyke/policy/stream_recovery.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

constexpr TimePoint Now{std::chrono::seconds(100)};

RecoverySituation brokenAfterProgress()
{
    return {AttemptEnd::Broken, true, 0, 0, true, Now + std::chrono::seconds(5)};
}

// One connection is cut while its engine goes on. A caller would wait for the whole prefill again
// if the stream were begun anew elsewhere.
TEST(StreamRecovery, ResumesOnALivingEngine)
{
    EXPECT_EQ(recover(brokenAfterProgress(), Now), RecoveryStep::Resume);
}

// The engine crashes, refuses, or takes connections and answers nothing. The caller's answer stops
// in the middle of a sentence unless another engine goes on with it.
TEST(StreamRecovery, GoesElsewhereWhenTheEngineIsGoneOrBringsNothing)
{
    RecoverySituation situation = brokenAfterProgress();
    situation.engineLives = false;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::Elsewhere);
    situation = brokenAfterProgress();
    situation.fruitlessHere = FruitlessOnOneEngine;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::Elsewhere);
    situation = brokenAfterProgress();
    situation.end = AttemptEnd::Refused;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::Elsewhere);
}

// No engine can finish the answer, or what the caller has is not known here. The caller must hear
// so instead of waiting for ever.
TEST(StreamRecovery, GivesUpInTheEnd)
{
    RecoverySituation situation = brokenAfterProgress();
    EXPECT_EQ(recover(situation, situation.giveUpAt), RecoveryStep::GiveUp);
    situation.fruitless = FruitlessInAll;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::GiveUp);
    situation = brokenAfterProgress();
    situation.engineLives = false;
    situation.canContinue = false;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::GiveUp);
}

} // namespace
} // namespace vanilladyke
