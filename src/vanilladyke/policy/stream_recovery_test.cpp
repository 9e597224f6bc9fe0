#include "vanilladyke/policy/stream_recovery.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

constexpr TimePoint Now{std::chrono::seconds(100)};

RecoverySituation brokenAfterProgress()
{
    return {AttemptEnd::Broken, true, 0, 0, true, Now + std::chrono::seconds(5)};
}

// One connection is cut while its engine continues. If the stream were restarted on another engine,
// the caller would wait for the whole prefill again.
TEST(StreamRecovery, ResumesOnALiveEngine)
{
    EXPECT_EQ(recover(brokenAfterProgress(), Now), RecoveryStep::Resume);
}

// The engine crashes, refuses, or accepts connections without answering. The answer stops midway
// unless another engine continues it.
TEST(StreamRecovery, MovesToAnotherEngineWhenTheEngineFailsOrDeliversNothing)
{
    RecoverySituation situation = brokenAfterProgress();
    situation.engineIsLive = false;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::OtherEngine);
    situation = brokenAfterProgress();
    situation.attemptsWithoutFrameHere = MaxAttemptsPerEngine;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::OtherEngine);
    situation = brokenAfterProgress();
    situation.end = AttemptEnd::Refused;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::OtherEngine);
}

// No engine can finish the answer, or this node lacks a part of it. The caller must get an error
// instead of waiting for ever.
TEST(StreamRecovery, GivesUpAtTheDeadlineOrAfterTooManyAttempts)
{
    RecoverySituation situation = brokenAfterProgress();
    EXPECT_EQ(recover(situation, situation.giveUpAt), RecoveryStep::GiveUp);
    situation.attemptsWithoutFrame = MaxAttempts;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::GiveUp);
    situation = brokenAfterProgress();
    situation.engineIsLive = false;
    situation.hasWholeAnswer = false;
    EXPECT_EQ(recover(situation, Now), RecoveryStep::GiveUp);
}

} // namespace
} // namespace vanilladyke
