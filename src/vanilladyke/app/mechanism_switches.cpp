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
    BackendRates &rates = traffic.rates;
    switch (mechanism) {
    case Mechanism::PreferredEngines:
        rates.leastHomeReading = NeverReached;
        break;
    case Mechanism::NestedPreferredEngines:
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
    case Mechanism::PrefillThroughput:
        rates.learnsPace = false;
        break;
    case Mechanism::Slowdown:
        rates.learnsSlowness = false;
        break;
    case Mechanism::WaitLimit:
        rates.mostWaitTargets = NeverReachedTargets;
        break;
    case Mechanism::LoadUpdates:
        rates.countsOthersLoad = false;
        break;
    case Mechanism::PlacementUpdates:
        rates.believesPlacements = false;
        break;
    case Mechanism::OwnDataCentre:
        rates.otherCentre = Millis::zero();
        break;
    case Mechanism::UnresponsiveCharge:
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
        settings->control.rollout.orderedPart = 1;
        break;
    case Mechanism::Withdrawal:
        traffic.withdrawsRequests = false;
        break;
    case Mechanism::Retries:
        traffic.retriesRequests = false;
        break;
    case Mechanism::Resumes:
        traffic.resumesStreams = false;
        break;
    case Mechanism::EngineLimits:
        traffic.rates.keepsLimits = false;
        break;
    case Mechanism::Quarantine:
        traffic.quarantinesRequests = false;
        break;
    case Mechanism::SharedStoreReads:
        settings->follow.asksOthers = false;
        break;
    }
}

} // namespace vanilladyke
