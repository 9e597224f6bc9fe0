#include "vanilladyke/app/mechanism_switches.hpp"

namespace vanilladyke {

namespace {

/// Longer than any request, so that the bound is never reached.
constexpr Millis NeverReached{1e12};
constexpr double NeverReachedTargets = 1e6;

} // namespace

void switchOff(Mechanism mechanism, NodeSettings *settings)
{
    TrafficSettings &traffic = settings->traffic;
    BackendRates &rates = traffic.rates;
    switch (mechanism) {
    case Mechanism::Homes:
        rates.leastHomeReading = NeverReached;
        break;
    case Mechanism::NestedHomes:
        rates.homesByBeginning = false;
        break;
    case Mechanism::CopyCharge:
        rates.copyReads = 0;
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
        rates.learnsPace = false;
        break;
    case Mechanism::Slowness:
        rates.learnsSlowness = false;
        break;
    case Mechanism::WaitLimit:
        rates.mostWaitTargets = NeverReachedTargets;
        break;
    case Mechanism::LoadNews:
        rates.countsOthersLoad = false;
        break;
    case Mechanism::PlacementNews:
        rates.believesPlacements = false;
        break;
    case Mechanism::OwnDataCentre:
        rates.otherCentre = Millis::zero();
        break;
    case Mechanism::SilenceCharge:
        rates.silenceCost = Millis::zero();
        break;
    case Mechanism::FailureCharge:
        rates.failureCost = Millis::zero();
        break;
    case Mechanism::OldWeightsCharge:
        rates.oldWeightsPart = 0;
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
        traffic.rates.keepsLimits = false;
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
