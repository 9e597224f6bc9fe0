#include "vanilladyke/policy/backend_book.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;

const ServiceId Service("llm");
const ModelId Model("m");
const DataCentreId Here("here");

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
        entry.service = Service;
        entry.dataCentre = Here;
        entry.slots = 24;
        entry.weights[Model] = version;
        entries.push_back(entry);
    }
    return entries;
}

BackendQuery longPrompt(int part)
{
    BackendQuery query;
    query.service = Service;
    query.model = Model;
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

// Every router starts without any knowledge of caches. Were each to choose another engine for a
// brand guide, the guide would be read once by each.
TEST(BackendBook, NodesThatDoNotTalkSendASharedPartToTheSameEngine)
{
    BackendBook one(Here, {});
    BackendBook two(Here, {});
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

// One brand's guide gets a third of all requests within a second. Its home would make every one of
// them late while other engines idle.
TEST(BackendBook, AHotPartSpreadsWhenWaitingCostsMoreThanReading)
{
    BackendBook book(Here, {});
    book.setBackends(fleet(18));
    std::map<EngineId, int> perEngine;
    for (int i = 0; i < 120; ++i) {
        const auto choice = book.choose(longPrompt(7), at(i));
        ASSERT_TRUE(choice);
        book.sent(*choice, longPrompt(7), at(i));
        ++perEngine[choice->backend.id];
    }
    EXPECT_GT(perEngine.size(), 2U);
    for (const auto &[id, requests] : perEngine) {
        EXPECT_LT(requests, 60) << id;
    }
}

// Short checks share engines with drafts of seventeen thousand tokens. Behind a few of those a
// check waits half a second, while an engine next to it is idle.
TEST(BackendBook, AShortRequestAvoidsAnEngineWhereLongPromptsWait)
{
    BackendBook book(Here, {});
    book.setBackends(fleet(6));
    const auto home = book.choose(shortPrompt(3), at(0));
    ASSERT_TRUE(home);
    for (int i = 0; i < 4; ++i) {
        book.sent(*home, longPrompt(1), at(i));
    }
    BackendChoice reading = *home;
    reading.readMs = 150;
    book.sent(reading, longPrompt(1), at(4));
    const auto next = book.choose(shortPrompt(3), at(5));
    ASSERT_TRUE(next);
    EXPECT_NE(next->backend.id, home->backend.id);
}

// An engine's host falls silent: connections stay open and nothing comes back. Requests sent there
// are only answered at their deadlines.
TEST(BackendBook, AnEngineThatGoesSilentIsAvoided)
{
    BackendBook book(Here, {});
    book.setBackends(fleet(3));
    const auto home = book.choose(longPrompt(1), at(0));
    ASSERT_TRUE(home);
    book.sent(*home, longPrompt(1), at(0));
    const auto later = book.choose(longPrompt(1), at(600));
    ASSERT_TRUE(later);
    EXPECT_NE(later->backend.id, home->backend.id);
    book.began(*home, at(700));
    EXPECT_EQ(book.choose(longPrompt(1), at(710))->backend.id, home->backend.id);
}

// A grey engine answers its health check and fails every second request at once; as it looks idle
// it would draw more and more of them.
TEST(BackendBook, AnEngineThatFailsRequestsIsAvoidedForAWhile)
{
    BackendBook book(Here, {});
    book.setBackends(fleet(3));
    BackendQuery plain;
    plain.service = Service;
    const auto first = book.choose(plain, at(0));
    ASSERT_TRUE(first);
    for (int i = 0; i < 4; ++i) {
        book.sent(*first, plain, at(i));
        book.began(*first, at(i));
        book.ended(*first, true, true, at(i));
    }
    EXPECT_NE(book.choose(plain, at(10))->backend.id, first->backend.id);
}

// New weights are named again and again while earlier ones are still being brought. Each naming has
// its own time; counted from the last one, an engine two versions behind would go on serving.
TEST(BackendBook, EachNamedVersionClosesOlderEnginesInItsOwnTime)
{
    BackendBook book(Here, {});
    auto entries = fleet(2, 1);
    entries[1].weights[Model] = 2;
    book.setBackends(entries);
    book.setGoal(Model, 2, at(0));
    book.setGoal(Model, 3, at(8000));
    for (int part = 0; part < 20; ++part) {
        const auto choice = book.choose(longPrompt(part), at(13'500));
        ASSERT_TRUE(choice);
        EXPECT_EQ(choice->weights, 2U);
    }
    EXPECT_FALSE(book.choose(longPrompt(1), at(21'500))) << "both are too old by now";
}

TEST(BackendBook, ANodeThatLearnsThatWeightsAreOlderClosesSooner)
{
    BackendBook book(Here, {});
    book.setBackends(fleet(1, 1));
    book.setGoal(Model, 2, at(0));
    EXPECT_TRUE(book.choose(longPrompt(1), at(5000)));
    book.setGoal(Model, 2, at(-9000));
    EXPECT_FALSE(book.choose(longPrompt(1), at(5000)));
}

TEST(BackendBook, TellsWhenAClosedServerOpensAgain)
{
    BackendBook book(Here, {});
    book.setBackends(fleet(1));
    book.close(EngineId("e0"), at(0));
    const auto none = book.choose(shortPrompt(1), at(10));
    ASSERT_FALSE(none);
    EXPECT_TRUE(none.error().isKnown);
    EXPECT_EQ(none.error().retryAt, at(250));
    EXPECT_TRUE(book.choose(shortPrompt(1), at(250)));
    BackendQuery unknown;
    unknown.service = ServiceId("other");
    EXPECT_FALSE(book.choose(unknown, at(0)).error().isKnown);
}

// An engine took new weights, and this node hears of it by a refusal before its entry says so.
TEST(BackendBook, ARefusedVersionMeansThatTheNewestIsThere)
{
    BackendBook book(Here, {});
    book.setBackends(fleet(1, 1));
    book.setGoal(Model, 2, at(0));
    book.doubtWeights(EngineId("e0"), Model, at(10));
    EXPECT_EQ(book.choose(shortPrompt(1), at(20))->weights, 2U);
}

} // namespace
} // namespace vanilladyke
