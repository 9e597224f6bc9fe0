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
    BackendCostParameters &rates = traffic.rates;
    switch (mechanism) {
    case Mechanism::PreferredEngines:
        rates.minPreferredPrefill = NeverReached;
        break;
    case Mechanism::NestedPreferredEngines:
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
    case Mechanism::PrefillThroughput:
        rates.learnsThroughput = false;
        break;
    case Mechanism::Slowdown:
        rates.learnsSlowdown = false;
        break;
    case Mechanism::WaitLimit:
        rates.maxWaitFraction = NeverReachedTargets;
        break;
    case Mechanism::LoadUpdates:
        rates.countsPeerLoad = false;
        break;
    case Mechanism::PlacementUpdates:
        rates.usesPlacementUpdates = false;
        break;
    case Mechanism::OwnDataCentre:
        rates.crossDataCentrePenalty = Millis::zero();
        break;
    case Mechanism::UnresponsiveCharge:
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
        traffic.rates.enforcesLimits = false;
        break;
    case Mechanism::Quarantine:
        traffic.quarantinesRequests = false;
        break;
    case Mechanism::Relays:
        traffic.relaysRequests = false;
        break;
    case Mechanism::SharedStoreReads:
        settings->follow.sharesStoreReads = false;
        break;
    }
}

} // namespace vanilladyke
