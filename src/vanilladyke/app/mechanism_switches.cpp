#include "vanilladyke/app/mechanism_switches.hpp"

namespace vanilladyke {

namespace {

/// Longer than any request: a bound of that size is never reached.
constexpr Millis NeverReached{1e12};
constexpr double NeverReachedTargets = 1e6;

} // namespace

void switchOff(Mechanism mechanism, NodeSettings *settings)
{
    TrafficSettings &traffic = settings->traffic;
    BackendCostParameters &rates = traffic.rates;
    switch (mechanism) {
    case Mechanism::Homes:
        rates.minPreferredPrefill = NeverReached;
        break;
    case Mechanism::NestedHomes:
        rates.prefersByCommonBeginning = false;
        break;
    case Mechanism::CopyCharge:
        rates.copyPenalty = 0;
        break;
    case Mechanism::KeptStore:
        rates.usesKeptStore = false;
        break;
    case Mechanism::EngineFetch:
        rates.fetchesFromEngines = false;
        break;
    case Mechanism::Urgency:
        rates.weighsUrgency = false;
        break;
    case Mechanism::Pace:
        rates.learnsThroughput = false;
        break;
    case Mechanism::Slowness:
        rates.learnsSlowdown = false;
        break;
    case Mechanism::WaitLimit:
        rates.maxWaitFraction = NeverReachedTargets;
        break;
    case Mechanism::LoadNews:
        rates.countsPeerLoad = false;
        break;
    case Mechanism::PlacementNews:
        rates.usesPlacementUpdates = false;
        break;
    case Mechanism::OwnDataCentre:
        rates.crossDataCentrePenalty = Millis::zero();
        break;
    case Mechanism::SilenceCharge:
        rates.unresponsivePenalty = Millis::zero();
        break;
    case Mechanism::FailureCharge:
        rates.failurePenalty = Millis::zero();
        break;
    case Mechanism::OldWeightsCharge:
        rates.oldWeightsPenalty = 0;
        break;
    case Mechanism::PacedRollout:
        settings->control.rollout.loadingPart = 1;
        settings->control.rollout.outPart = 1;
        break;
    case Mechanism::Withdrawal:
        traffic.withdraws = false;
        break;
    case Mechanism::SecondSends:
        traffic.sendsAgain = false;
        break;
    case Mechanism::Resumes:
        traffic.resumes = false;
        break;
    case Mechanism::EngineLimits:
        traffic.rates.enforcesLimits = false;
        break;
    case Mechanism::Quarantine:
        traffic.quarantines = false;
        break;
    case Mechanism::SharedReading:
        settings->follow.asksOthers = false;
        break;
    }
}

} // namespace vanilladyke
