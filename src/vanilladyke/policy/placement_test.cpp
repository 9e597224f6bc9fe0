#include "vanilladyke/policy/placement_policy.hpp"

#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/policy/explain.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t SharedTokens = 6000;
constexpr Incarnation First{1};

Fleet fleetOf(std::size_t engines)
{
    Fleet fleet;
    fleet.bundle = std::make_shared<const Bundle>();
    for (std::size_t i = 0; i < engines; ++i) {
        EngineView engine;
        engine.id = EngineId("engine-" + std::to_string(i));
        engine.key = engineKeyOf(engine.id);
        engine.incarnation = First;
        engine.state = EngineState::Ready;
        engine.models = {ModelId("copy")};
        engine.slots = 32;
        fleet.engines.push_back(engine);
    }
    fleet.index = indexEngines(fleet.engines, nullptr);
    return fleet;
}

/// A request with a shared prefix and a message of its own.
PlacementRequest requestFor(std::uint64_t prefix, std::uint64_t message)
{
    PlacementRequest request;
    request.customer = CustomerId("brand");
    request.model = ModelId("copy");
    request.chain = {{{mixBits(prefix), mixBits(prefix + 7)}, SharedTokens, true},
                     {{mixBits(message), mixBits(message + 9)}, SharedTokens + 200, true}};
    request.promptTokens = SharedTokens + 200;
    request.answerTokens = 200;
    return request;
}

std::vector<PrefixHolder> holderOf(const EngineView &engine, std::uint32_t tokens)
{
    return {{engine.key, engine.incarnation, {CachedLength{tokens, seconds(1), true}}, 1}};
}

TEST(Placement, GoesToTheHolderWhenQueuesAreShort)
{
    const Fleet fleet = fleetOf(12);
    Random random(1);
    PlacementPolicy policy;
    const auto placement = policy.decide(requestFor(1, 2), fleet,
                                         holderOf(fleet.engines[5], SharedTokens), {}, {}, random);
    ASSERT_TRUE(placement.winner.has_value());
    EXPECT_EQ(placement.winner->engine, 5U);
    EXPECT_GT(placement.winner->expectedCachedTokens, SharedTokens * 9 / 10);
}

// Guards against prefix affinity that ignores load: the holder has a prefill backlog of seconds,
// while any other engine would prefill the shared prefix sooner.
TEST(Placement, LeavesAHolderWhoseQueueCostsMoreThanThePrefix)
{
    Fleet fleet = fleetOf(12);
    fleet.engines[5].load.queuedPrefillTokens = 60'000;
    Random random(1);
    PlacementPolicy policy;
    const auto placement = policy.decide(requestFor(1, 2), fleet,
                                         holderOf(fleet.engines[5], SharedTokens), {}, {}, random);
    EXPECT_NE(placement.winner->engine, 5U);
}

TEST(Placement, ImportsFromTheStoreWhereThatIsSooner)
{
    const Fleet fleet = fleetOf(12);
    Random random(1);
    PlacementPolicy policy;
    const KeptPrefix fast{SharedTokens, milliseconds(20), 100'000};
    const KeptPrefix slow{SharedTokens, milliseconds(20), 1000};
    const auto imported = policy.decide(requestFor(1, 2), fleet, {}, fast, {}, random);
    EXPECT_GT(imported.winner->importedTokens, 0U);
    EXPECT_LT(imported.winner->prefill, milliseconds(200));
    const auto computed = policy.decide(requestFor(1, 3), fleet, {}, slow, {}, random);
    EXPECT_EQ(computed.winner->importedTokens, 0U);
}

// Guards against placement by load alone on a restarted node, whose cache view is empty: it would
// have a shared prefix recomputed on engines that do not have it.
TEST(Placement, ARestartedNodePlacesAPrefixLikeTheOthers)
{
    const Fleet fleet = fleetOf(18);
    for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
        Random random(prefix);
        Random other(prefix + 1000);
        PlacementPolicy old;
        PlacementPolicy restarted;
        const auto before = old.decide(requestFor(prefix, 1), fleet, {}, {}, {}, random);
        const auto after = restarted.decide(requestFor(prefix, 2), fleet, {}, {}, {}, other);
        EXPECT_EQ(before.winner->engine, after.winner->engine);
    }
}

// Guards against herding: nine nodes have the same load report, in which one engine is idle and the
// others have a short queue, and each node places two prompts before the next report. If all chose
// the idle engine, the requests would queue there.
TEST(Placement, NineNodesDoNotAllChooseTheIdleEngine)
{
    Fleet fleet = fleetOf(12);
    fleet.liveNodes = 9;
    for (EngineView &engine : fleet.engines) {
        engine.load.queuedPrefillTokens = 3000;
    }
    fleet.engines[0].load.queuedPrefillTokens = 0;
    std::map<std::size_t, int> sent;
    for (std::uint64_t node = 0; node < 9; ++node) {
        Random random(node);
        PlacementPolicy policy;
        for (std::uint64_t i = 0; i < 2; ++i) {
            const PlacementRequest request = requestFor(node * 2 + i, 500 + node * 2 + i);
            const auto placement = policy.decide(request, fleet, {}, {}, {}, random);
            static_cast<void>(policy.sent(request, fleet, placement, {}));
            ++sent[placement.winner->engine];
        }
    }
    for (const auto &[engine, count] : sent) {
        EXPECT_LE(count, 6) << engine;
    }
}

// Guards against placing a burst from a stale report: without counting its own requests, a node
// would send all of the burst to the engine that was idle in the last report.
TEST(Placement, ABurstBetweenTwoReportsIsSpread)
{
    Fleet fleet = fleetOf(12);
    Random random(1);
    PlacementPolicy policy;
    std::map<std::size_t, int> sent;
    const TimePoint now(seconds(1));
    for (std::uint64_t i = 0; i < 48; ++i) {
        const PlacementRequest request = requestFor(1, 500 + i);
        const auto placement = policy.decide(request, fleet, {}, {}, now, random);
        static_cast<void>(policy.sent(request, fleet, placement, now));
        ++sent[placement.winner->engine];
    }
    EXPECT_GE(sent.size(), 4U);
    for (const auto &[engine, count] : sent) {
        EXPECT_LE(count, 24) << engine;
    }
}

TEST(Placement, ExcludedAndDeadEnginesGetNothing)
{
    Fleet fleet = fleetOf(3);
    fleet.engines[1].state = EngineState::Dead;
    fleet.index = indexEngines(fleet.engines, nullptr);
    Random random(1);
    PlacementPolicy policy;
    PlacementRequest request = requestFor(1, 2);
    request.excluded = {fleet.engines[0].id};
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(policy.decide(request, fleet, {}, {}, {}, random).winner->engine, 2U);
    }
    request.excluded.push_back(fleet.engines[2].id);
    const auto none = policy.decide(request, fleet, {}, {}, {}, random);
    EXPECT_FALSE(none.winner.has_value());
    EXPECT_EQ(none.reason, "no_engine");
}

// Guards against refusing a request while an engine is available: all but one of 100 engines are
// excluded, and the regular candidates do not contain the remaining one.
TEST(Placement, TheOnlyAvailableEngineIsFound)
{
    const Fleet fleet = fleetOf(100);
    Random random(1);
    PlacementPolicy policy;
    for (std::size_t available = 0; available < fleet.engines.size(); ++available) {
        PlacementRequest request = requestFor(1, 2);
        for (std::size_t i = 0; i < fleet.engines.size(); ++i) {
            if (i != available) {
                request.excluded.push_back(fleet.engines[i].id);
            }
        }
        const auto placement = policy.decide(request, fleet, {}, {}, {}, random);
        ASSERT_TRUE(placement.winner.has_value());
        EXPECT_EQ(placement.winner->engine, available);
    }
}

TEST(Placement, TheNumberOfCandidatesDoesNotGrowWithTheFleet)
{
    Random random(1);
    PlacementPolicy policy;
    for (const std::size_t engines : {100U, 1000U, 6700U}) {
        const Fleet fleet = fleetOf(engines);
        const auto placement = policy.decide(requestFor(1, 2), fleet, {}, {}, {}, random);
        EXPECT_LE(placement.candidates.size(), 18U);
    }
}

// Guards against using cache entries of an engine that has restarted since: its cache is empty, so
// the request would wait for a full prefill that the prediction left out.
RC_GTEST_PROP(Placement, NeverCountsAnotherIncarnation, (std::uint64_t seed))
{
    Fleet fleet = fleetOf(6);
    Random random(seed);
    const std::size_t engine = uniformBelow(random, fleet.engines.size());
    const auto holders = holderOf(fleet.engines[engine], SharedTokens);
    fleet.engines[engine].incarnation = Incarnation{2 + uniformBelow(random, 1000)};
    PlacementPolicy policy;
    const auto placement =
            policy.decide(requestFor(random(), random()), fleet, holders, {}, {}, random);
    for (const Candidate &candidate : placement.candidates) {
        for (const PrefixEstimate &estimate : candidate.estimates) {
            RC_ASSERT(estimate.evidence != Evidence::Known);
            RC_ASSERT(estimate.evidence != Evidence::Untrusted);
        }
    }
}

// Guards against sharing cache entries across customers or weights versions: identical text of
// another customer, or under other weights, must not match.
RC_GTEST_PROP(Placement, NeverCountsAnotherCustomersOrOlderWeightsEntries,
              (const std::string &text))
{
    const std::array<std::string_view, 2> messages{text, "question"};
    const auto chainFor = [&](const char *customer, const char *weights) {
        return buildPrefixChain({CustomerId(customer), ModelId("copy"), WeightsVersion(weights)},
                                messages);
    };
    const EngineKey engine{1};
    CacheView view(1U << 16U);
    view.setIncarnation(engine, First, {});
    for (const PrefixCut &cut : chainFor("brand", "w1")) {
        view.stored(engine, First, cut.hash, {});
    }
    RC_ASSERT(view.holders(chainFor("brand", "w1"), {}).size() == 1U);
    RC_ASSERT(view.holders(chainFor("trader", "w1"), {}).empty());
    RC_ASSERT(view.holders(chainFor("brand", "w2"), {}).empty());
}

TEST(Explain, ShowsCandidatesCostsWinnerAndReason)
{
    const Fleet fleet = fleetOf(12);
    Random random(1);
    PlacementPolicy policy;
    const auto placement = policy.decide(requestFor(1, 2), fleet,
                                         holderOf(fleet.engines[5], SharedTokens), {}, {}, random);
    const std::string text = explainText(SharedTokens + 200, fleet, placement);
    EXPECT_NE(text.find("engine-5 (least_cost): its predicted cost is the least"),
              std::string::npos)
            << text;
    const auto fields = explainFields(SharedTokens + 200, fleet, placement);
    ASSERT_GE(fields.size(), 9U);
    EXPECT_EQ(fields[3].key, "engine");
    EXPECT_EQ(fields[3].value, "engine-5");
    EXPECT_EQ(fields[5].value, "known");
}

} // namespace
} // namespace vanilladyke
