#include "vanilladyke/policy/stream_recovery.hpp"

namespace vanilladyke {

std::string_view toString(RecoveryStep step)
{
    switch (step) {
    case RecoveryStep::Resume:
        return "resume";
    case RecoveryStep::Elsewhere:
        return "elsewhere";
    case RecoveryStep::GiveUp:
        return "give_up";
    }
    return "give_up";
}

RecoveryStep recover(const RecoverySituation &situation, TimePoint now)
{
    if (now >= situation.giveUpAt || situation.fruitless >= FruitlessInAll) {
        return RecoveryStep::GiveUp;
    }
    const bool connectionOnly = situation.end == AttemptEnd::Broken && situation.engineLives;
    if (connectionOnly && situation.fruitlessHere < FruitlessOnOneEngine) {
        return RecoveryStep::Resume;
    }
    return situation.canContinue ? RecoveryStep::Elsewhere : RecoveryStep::GiveUp;
}

} // namespace vanilladyke
