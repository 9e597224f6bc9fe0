#include "vanilladyke/policy/stream_recovery.hpp"

namespace vanilladyke {

std::string_view toString(RecoveryStep step)
{
    switch (step) {
    case RecoveryStep::Resume:
        return "resume";
    case RecoveryStep::OtherEngine:
        return "elsewhere";
    case RecoveryStep::GiveUp:
        return "give_up";
    }
    return "give_up";
}

RecoveryStep recover(const RecoverySituation &situation, TimePoint now)
{
    if (now >= situation.giveUpAt || situation.attemptsWithoutFrame >= MaxAttempts) {
        return RecoveryStep::GiveUp;
    }
    const bool connectionOnly = situation.end == AttemptEnd::Broken && situation.engineIsLive;
    if (connectionOnly && situation.attemptsWithoutFrameHere < MaxAttemptsPerEngine) {
        return RecoveryStep::Resume;
    }
    return situation.hasWholeAnswer ? RecoveryStep::OtherEngine : RecoveryStep::GiveUp;
}

} // namespace vanilladyke
