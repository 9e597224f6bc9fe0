#include "vanilladyke/policy/backend_tracker.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const ServiceId llmService("llm");
const ModelId llmModel("m");
const DataCentreId hereCentre("here");

TimePoint at(int millis)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(millis));
}

std::vector<BackendEntry> fleet(int size, std::uint64_t version = 1)
{
    std::vector<BackendEntry> entries;
    for (int i = 0; i < size; ++i) {
        BackendEntry entry;
        entry.id = EngineId("e" + std::to_string(i));
        entry.service = llmService;
        entry.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        entry.dataCentre = hereCentre;
        entry.slots = 24;
        entry.weights[llmModel] = version;
        entries.push_back(entry);
    }
    return entries;
}

BackendQuery longPrompt(int part)
{
    BackendQuery query;
    query.service = llmService;
    query.model = llmModel;
    query.sharedPart = "part" + std::to_string(part);
    query.sharedTokens = 13'300;
    query.ownTokens = 3'720;
    return query;
}

BackendQuery shortPrompt(int part)
{
    BackendQuery query = longPrompt(part);
    query.sharedTokens = 92;
    query.ownTokens = 291;
    return query;
}

// Guards against several requests using one token of a rate limit while they wait for their
// connections.
TEST(BackendTracker, ARateLimitTokenIsUsedOnlyOnce)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(1));
    EXPECT_TRUE(tracker.limitObserved(EngineId("e0"), 2, at(0)));
    EXPECT_FALSE(tracker.choose(shortPrompt(1), at(10)));
    const auto first = tracker.choose(shortPrompt(1), at(600));
    const auto second = tracker.choose(shortPrompt(2), at(600));
    ASSERT_TRUE(first && second);
    EXPECT_TRUE(tracker.hasCapacity(EngineId("e0"), at(601)));
    tracker.sent(*first, shortPrompt(1), at(601));
    EXPECT_FALSE(tracker.hasCapacity(EngineId("e0"), at(602)));
    EXPECT_EQ(tracker.limitedEngines(), 1U);
}

// Guards against calls of a plain service being refused or moved because each call ahead of them
// was assumed to take 30 ms, whatever the service's calls take.
TEST(BackendTracker, PredictedSlotWaitFollowsTheServicesOwnCallTimes)
{
    constexpr int Slots = 6;
    constexpr int CallMs = 120;
    auto entries = fleet(1);
    entries[0].slots = Slots;
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(entries);
    BackendQuery call;
    call.service = llmService;
    for (int i = 0; i < 100; ++i) {
        const auto choice = tracker.choose(call, at(i * 1000));
        tracker.sent(*choice, call, at(i * 1000));
        tracker.began(*choice, at(i * 1000 + CallMs));
        tracker.ended(*choice, true, false, at(i * 1000 + CallMs));
    }
    for (int i = 0; i < 2 * Slots; ++i) {
        tracker.sent(*tracker.choose(call, at(200'000)), call, at(200'000));
    }
    const Millis wait = tracker.choose(call, at(200'000))->wait;
    constexpr int Ahead = Slots + 1;
    EXPECT_GT(wait, Millis(Ahead * CallMs / Slots) * 0.8);
    EXPECT_LT(wait, Millis(Ahead * CallMs / Slots) * 1.3);
}

// Guards against nodes without any cache updates choosing different engines for a shared part, each
// of which would then prefill it.
TEST(BackendTracker, NodesWithoutUpdatesSendASharedPartToTheSameEngine)
{
    BackendTracker one(hereCentre, {});
    BackendTracker two(hereCentre, {});
    one.setBackends(fleet(18));
    auto reversed = fleet(18);
    std::reverse(reversed.begin(), reversed.end());
    two.setBackends(reversed);
    std::map<EngineId, int> perEngine;
    for (int part = 0; part < 269; ++part) {
        const auto first = one.choose(longPrompt(part), at(0));
        const auto second = two.choose(longPrompt(part), at(0));
        ASSERT_TRUE(first && second);
        EXPECT_EQ(first->backend.id, second->backend.id);
        ++perEngine[first->backend.id];
    }
    EXPECT_EQ(perEngine.size(), 18U);
    for (const auto &[id, parts] : perEngine) {
        EXPECT_LT(parts, 32) << id;
    }
}

// New weights are loaded on a third of 120 engines, and the preferred engines of most parts still
// run older ones. Guards against sending two thirds of the long prompts to replaced weights, and
// against each node choosing a different engine on new weights, which would repeat the prefill.
TEST(BackendTracker, AnEngineOnNewWeightsReplacesAPreferredEngineOnOlderOnes)
{
    BackendTracker one(hereCentre, {}, 1);
    BackendTracker two(hereCentre, {}, 2);
    auto entries = fleet(120);
    for (std::size_t i = 0; i < entries.size(); i += 3) {
        entries[i].weights[llmModel] = 2;
    }
    for (BackendTracker *tracker : {&one, &two}) {
        tracker->setBackends(entries);
        tracker->weightsAnnounced({llmModel, {2, at(0), at(0)}}, AnnouncementSource::Read, at(0));
    }
    for (int part = 0; part < 100; ++part) {
        const auto first = one.choose(longPrompt(part), at(5000));
        const auto second = two.choose(longPrompt(part), at(5000));
        ASSERT_TRUE(first && second);
        EXPECT_EQ(first->weights, 2U);
        EXPECT_EQ(first->backend.id, second->backend.id);
    }
}

// A third of all requests have the same shared part within a second. Guards against queueing all of
// them at the preferred engine while other engines are idle.
TEST(BackendTracker, AHotPartSpreadsWhenTheWaitCostsMoreThanThePrefill)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(18));
    std::map<EngineId, int> perEngine;
    for (int i = 0; i < 120; ++i) {
        const auto choice = tracker.choose(longPrompt(7), at(i));
        ASSERT_TRUE(choice);
        tracker.sent(*choice, longPrompt(7), at(i));
        ++perEngine[choice->backend.id];
    }
    EXPECT_GT(perEngine.size(), 2U);
    for (const auto &[id, requests] : perEngine) {
        EXPECT_LT(requests, 60) << id;
    }
}

// Short requests share engines with prompts of seventeen thousand tokens. Guards against a short
// request waiting half a second behind a few of them while another engine is idle.
TEST(BackendTracker, AShortRequestAvoidsAnEngineWhereLongPromptsWait)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(6));
    const auto preferred = tracker.choose(shortPrompt(3), at(0));
    ASSERT_TRUE(preferred);
    for (int i = 0; i < 4; ++i) {
        tracker.sent(*preferred, longPrompt(1), at(i));
    }
    BackendChoice queued = *preferred;
    queued.prefill = Millis(150);
    tracker.sent(queued, longPrompt(1), at(4));
    const auto next = tracker.choose(shortPrompt(3), at(5));
    ASSERT_TRUE(next);
    EXPECT_NE(next->backend.id, preferred->backend.id);
}

// Long prompts of low urgency wait for two seconds at the engine that has an urgent request's
// prompt cached. The urgent request overtakes them there; at another engine its prompt would be
// prefilled again.
TEST(BackendTracker, LessUrgentRequestsDoNotCountAsBacklog)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(6));
    BackendQuery check = longPrompt(3);
    check.urgency = 1;
    const auto preferred = tracker.choose(check, at(0));
    ASSERT_TRUE(preferred);
    BackendChoice waiting = *preferred;
    waiting.urgency = 4;
    waiting.prefill = Millis(2000);
    tracker.sent(waiting, longPrompt(1), at(0));
    const auto urgent = tracker.choose(check, at(1));
    ASSERT_TRUE(urgent);
    EXPECT_EQ(urgent->backend.id, preferred->backend.id);
    EXPECT_LT(urgent->wait, Millis(10));
    check.urgency = 4;
    EXPECT_NE(tracker.choose(check, at(1))->backend.id, preferred->backend.id);
}

// Many prompts have a common beginning and differ in a few tokens. Guards against giving each a
// preferred engine of its own, so that every engine would prefill the common beginning.
TEST(BackendTracker, PartsWithACommonBeginningHaveTheSamePreferredEngine)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(18));
    BackendQuery query = longPrompt(0);
    query.preferencePart = "beginning";
    const auto first = tracker.choose(query, at(0));
    ASSERT_TRUE(first);
    for (int part = 1; part < 20; ++part) {
        query.sharedPart = "part" + std::to_string(part);
        EXPECT_EQ(tracker.choose(query, at(0))->backend.id, first->backend.id);
    }
}

// An engine's host stops answering while connections stay open. Guards against sending requests
// there, which would end at their deadlines.
TEST(BackendTracker, AnUnresponsiveEngineIsAvoided)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(3));
    const auto preferred = tracker.choose(longPrompt(1), at(0));
    ASSERT_TRUE(preferred);
    tracker.sent(*preferred, longPrompt(1), at(0));
    const auto later = tracker.choose(longPrompt(1), at(600));
    ASSERT_TRUE(later);
    EXPECT_NE(later->backend.id, preferred->backend.id);
    tracker.began(*preferred, at(700));
    EXPECT_EQ(tracker.choose(longPrompt(1), at(710))->backend.id, preferred->backend.id);
}

// An engine passes its health check and fails every second request at once. Guards against it
// drawing more and more requests because it looks idle.
TEST(BackendTracker, AnEngineThatFailsRequestsIsAvoidedForAWhile)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(3));
    BackendQuery plain;
    plain.service = llmService;
    const auto first = tracker.choose(plain, at(0));
    ASSERT_TRUE(first);
    for (int i = 0; i < 4; ++i) {
        tracker.sent(*first, plain, at(i));
        tracker.began(*first, at(i));
        tracker.ended(*first, true, true, at(i));
    }
    EXPECT_NE(tracker.choose(plain, at(10))->backend.id, first->backend.id);
}

// Newer weights are announced while earlier ones are still being loaded. Each announcement has its
// own period; counted from the last one, an engine two versions behind would stay available.
TEST(BackendTracker, EachAnnouncedVersionExcludesOlderEnginesAfterItsOwnPeriod)
{
    BackendTracker tracker(hereCentre, {});
    auto entries = fleet(2, 1);
    entries[1].weights[llmModel] = 2;
    tracker.setBackends(entries);
    tracker.weightsAnnounced({llmModel, {2, at(0), at(0)}}, AnnouncementSource::Read, at(0));
    tracker.weightsAnnounced({llmModel, {3, at(8000), at(8000)}}, AnnouncementSource::Read,
                             at(8000));
    for (int part = 0; part < 20; ++part) {
        const auto choice = tracker.choose(longPrompt(part), at(13'500));
        ASSERT_TRUE(choice);
        EXPECT_EQ(choice->weights, 2U);
    }
    EXPECT_FALSE(tracker.choose(longPrompt(1), at(21'500)))
            << "both versions are past their periods";
}

TEST(BackendTracker, AnEarlierAnnouncementTimeExcludesOldWeightsSooner)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(1, 1));
    tracker.weightsAnnounced({llmModel, {2, at(0), at(0)}}, AnnouncementSource::Read, at(0));
    EXPECT_TRUE(tracker.choose(longPrompt(1), at(5000)));
    tracker.weightsAnnounced({llmModel, {2, at(-9000), at(-9000)}}, AnnouncementSource::Reported,
                             at(5000));
    EXPECT_FALSE(tracker.choose(longPrompt(1), at(5000)));
}

TEST(BackendTracker, ReportsWhenAnExcludedServerIsAvailableAgain)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(1));
    tracker.exclude(EngineId("e0"), at(0));
    const auto none = tracker.choose(shortPrompt(1), at(10));
    ASSERT_FALSE(none);
    EXPECT_TRUE(none.error().isKnown);
    EXPECT_EQ(none.error().retryAt, at(250));
    EXPECT_TRUE(tracker.choose(shortPrompt(1), at(250)));
    BackendQuery unknown;
    unknown.service = ServiceId("other");
    EXPECT_FALSE(tracker.choose(unknown, at(0)).error().isKnown);
}

// An engine loaded new weights, and a refusal reaches this node before the updated entry does.
TEST(BackendTracker, ARefusedVersionMeansThatTheNewestIsLoaded)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(1, 1));
    tracker.weightsAnnounced({llmModel, {2, at(0), at(0)}}, AnnouncementSource::Read, at(0));
    tracker.weightsRefused(EngineId("e0"), llmModel, at(10));
    EXPECT_EQ(tracker.choose(shortPrompt(1), at(20))->weights, 2U);
}

BackendLoadUpdate updateOf(const BackendTracker &tracker, const EngineId &id, TimePoint now)
{
    for (const BackendLoadUpdate &each : tracker.ownLoad(100, now)) {
        if (tracker.hashOf(id) == each.backend) {
            return each;
        }
    }
    return {};
}

// Six nodes each send a sixth of the long prompts. Guards against all of them selecting an engine
// that is busy with requests of the others.
TEST(BackendTracker, TheBacklogOfOtherNodesCountsAsOwn)
{
    BackendTracker here(hereCentre, {});
    BackendTracker there(hereCentre, {});
    here.setBackends(fleet(6));
    there.setBackends(fleet(6));
    const auto preferred = there.choose(longPrompt(1), at(0));
    for (int i = 0; i < 30; ++i) {
        there.sent(*preferred, longPrompt(1), at(0));
    }
    EXPECT_EQ(here.choose(longPrompt(1), at(1))->backend.id, preferred->backend.id);
    here.receivedLoad(7, there.ownLoad(100, at(1)), at(1));
    EXPECT_NE(here.choose(longPrompt(1), at(2))->backend.id, preferred->backend.id);
    here.receivedLoad(7, {}, at(3));
    EXPECT_EQ(here.choose(longPrompt(1), at(4))->backend.id, preferred->backend.id);
}

TEST(BackendTracker, TheLoadOfANodeWithoutUpdatesExpires)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(1));
    PrefillBacklog waiting;
    waiting.add(5, Millis(500));
    tracker.receivedLoad(7, {{tracker.hashOf(EngineId("e0")), waiting, 9, {}, 0}}, at(0));
    EXPECT_GT(tracker.choose(shortPrompt(1), at(1))->cost, Millis(500));
    tracker.dropExpiredPeers(at(2500));
    EXPECT_LT(tracker.choose(shortPrompt(1), at(2501))->cost, Millis(50));
}

// Guards against a feedback loop among 72 nodes: if each forwarded the received end of a load,
// every hop would move it by the hop's delay, and the engine would stay excluded.
TEST(BackendTracker, AReceivedLoadOfWeightsIsNotForwarded)
{
    const EngineId engine("e0");
    BackendTracker orderer(hereCentre, {});
    std::vector<BackendTracker> others(6, BackendTracker(hereCentre, {}));
    orderer.setBackends(fleet(1));
    orderer.startedLoading(engine, at(2000));
    for (BackendTracker &each : others) {
        each.setBackends(fleet(1));
        each.receivedLoad(100, orderer.ownLoad(10, at(0)), at(5));
    }
    for (int ms = 10; ms < 2500; ms += 5) {
        const auto from = static_cast<std::size_t>(ms / 5) % others.size();
        const auto updates = others[from].ownLoad(10, at(ms));
        for (std::size_t to = 0; to < others.size(); ++to) {
            if (to != from) {
                others[to].receivedLoad(from, updates, at(ms + 5));
            }
        }
    }
    for (const BackendTracker &each : others) {
        EXPECT_TRUE(each.choose(shortPrompt(1), at(2500)));
    }
}

// The node that ordered a load has no request at the engine when the load ends. Guards against it
// reporting only servers at which it has some: others would send requests for the old weights until
// they are refused.
TEST(BackendTracker, NewWeightsAreReportedWithoutRequestsAtTheServer)
{
    BackendTracker orderer(hereCentre, {});
    BackendTracker other(hereCentre, {});
    orderer.setBackends(fleet(1, 1));
    other.setBackends(fleet(1, 1));
    orderer.finishedLoading(EngineId("e0"), llmModel, 2, at(0));
    other.receivedLoad(7, orderer.ownLoad(10, at(1)), at(1));
    EXPECT_EQ(other.choose(shortPrompt(1), at(2))->weights, 2U);
    EXPECT_TRUE(other.ownLoad(10, at(3)).empty()) << "received updates are not forwarded";
}

// A load ends earlier than announced: the engine is available as soon as the update arrives.
TEST(BackendTracker, AnEngineIsAvailableWhenTheUpdateOnItsNewWeightsArrives)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(1));
    const std::uint64_t engine = BackendTracker::hashOf(EngineId("e0"));
    tracker.receivedLoad(7, {{engine, {}, 0, milliseconds(2000), 1}}, at(0));
    EXPECT_FALSE(tracker.choose(shortPrompt(1), at(1000)));
    tracker.receivedLoad(7, {{engine, {}, 0, {}, 2}}, at(1001));
    const auto choice = tracker.choose(shortPrompt(1), at(1002));
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->weights, 2U);
}

// Each of many nodes sends a part too rarely to know where it is cached. Guards against a prefill
// by the next engine when the preferred one is unavailable, although a third one has the part.
TEST(BackendTracker, APartIsFetchedFromTheEngineToWhichAnotherNodeSentIt)
{
    BackendTracker here(hereCentre, {});
    BackendTracker there(hereCentre, {});
    here.setBackends(fleet(30));
    there.setBackends(fleet(30));
    const auto preferred = there.choose(longPrompt(1), at(0));
    ASSERT_TRUE(preferred);
    there.sent(*preferred, longPrompt(1), at(0));
    here.receivedPlacements(there.takePlacements(), at(1));
    EXPECT_TRUE(there.takePlacements().empty());
    BackendQuery query = longPrompt(1);
    query.exclude = {preferred->backend.id};
    const auto next = here.choose(query, at(2));
    ASSERT_TRUE(next);
    EXPECT_EQ(next->fetchFrom, preferred->backend.endpoint);
    const BackendQuery whole = longPrompt(1);
    const auto tokens = static_cast<double>(whole.sharedTokens + whole.ownTokens);
    EXPECT_LT(next->prefill, 0.33 * there.throughputOf(llmService).prefillTime(tokens));
}

// Guards against concentrating prompts that share fifty tokens with a fifth of all others on one
// engine, for a part that every engine prefills in half a millisecond.
TEST(BackendTracker, APartWithAShortPrefillHasNoPreferredEngine)
{
    BackendTracker tracker(hereCentre, {});
    tracker.setBackends(fleet(18));
    std::map<EngineId, int> perEngine;
    for (int i = 0; i < 36; ++i) {
        const auto choice = tracker.choose(shortPrompt(1), at(i));
        ASSERT_TRUE(choice);
        tracker.sent(*choice, shortPrompt(1), at(i));
        ++perEngine[choice->backend.id];
    }
    EXPECT_EQ(perEngine.size(), 18U);
}

// The node that ordered a load reports it to the others before the engine has refused anything.
TEST(BackendTracker, AnEngineIsExcludedDuringALoadOrderedByAnotherNode)
{
    BackendTracker here(hereCentre, {});
    BackendTracker orderer(hereCentre, {});
    here.setBackends(fleet(1));
    orderer.setBackends(fleet(1));
    orderer.startedLoading(EngineId("e0"), at(2000));
    here.receivedLoad(7, {updateOf(orderer, EngineId("e0"), at(500))}, at(500));
    const auto none = here.choose(shortPrompt(1), at(600));
    ASSERT_FALSE(none);
    EXPECT_EQ(none.error().retryAt, at(2000));
    here.receivedLoad(7, {{here.hashOf(EngineId("e0")), {}, 1, {}, 2}}, at(2000));
    EXPECT_EQ(here.choose(shortPrompt(1), at(2001))->weights, 2U);
}

/// Fraction of fifty long prompts a second, over six nodes, that are sent to their preferred
/// engines.
double preferredFraction(const BackendCostParameters &rates)
{
    constexpr int Nodes = 6;
    struct Running
    {
        std::size_t node;
        BackendChoice choice;
        TimePoint endsAt;
    };
    // The store has every part, so that copies are cheap to fetch.
    KeptCacheView kept;
    const Endpoint store{"10.0.0.9", 80};
    kept.setStores({{store, hereCentre}});
    kept.reset(store, KeptCacheState::Followed);
    for (int part = 0; part < 269; ++part) {
        kept.changed(store, cacheSalt(llmModel, 1, {}), longPrompt(part).sharedPart, 13'300);
    }
    std::vector<BackendTracker> nodes;
    for (int i = 0; i < Nodes; ++i) {
        nodes.emplace_back(hereCentre, rates);
        nodes.back().setBackends(fleet(18));
    }
    BackendTracker idle(hereCentre, rates);
    idle.setBackends(fleet(18));
    Random random(3);
    std::vector<Running> running;
    int atPreferred = 0;
    int all = 0;
    for (int ms = 0; ms < 20'000; ms += 20) {
        std::erase_if(running, [&](const Running &each) {
            if (each.endsAt > at(ms)) {
                return false;
            }
            nodes[each.node].began(each.choice, at(ms));
            nodes[each.node].ended(each.choice, true, false, at(ms));
            return true;
        });
        for (std::size_t from = 0; ms % 80 == 0 && from < nodes.size(); ++from) {
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                if (to != from) {
                    nodes[to].receivedLoad(from, nodes[from].ownLoad(100, at(ms)), at(ms));
                }
            }
        }
        const std::size_t node = uniformBelow(random, Nodes);
        BackendQuery query = longPrompt(static_cast<int>(uniformBelow(random, 269)));
        query.kept = &kept;
        const auto choice = nodes[node].choose(query, at(ms));
        atPreferred += choice->backend.id == idle.choose(query, at(ms))->backend.id ? 1 : 0;
        ++all;
        nodes[node].sent(*choice, query, at(ms));
        running.push_back({node, *choice, at(ms + 200)});
    }
    return static_cast<double>(atPreferred) / all;
}

// With shared load updates, differences of a few milliseconds would move requests away from their
// preferred engines. Engines would hold copies of everything and evict each other's parts until all
// are prefilled again. Under an even load most requests of a part have to stay at its preferred
// engine.
TEST(BackendTracker, AnEvenLoadStaysAtItsPreferredEnginesWithSharedLoadUpdates)
{
    BackendCostParameters withoutPenalties;
    withoutPenalties.copyPenalty = 0;
    withoutPenalties.nonPreferredPenalty = 0;
    EXPECT_GT(preferredFraction(BackendCostParameters{}), 0.95);
    EXPECT_LT(preferredFraction(withoutPenalties), 0.85)
            << "without penalties the load has to spread";
}

} // namespace
} // namespace vanilladyke
