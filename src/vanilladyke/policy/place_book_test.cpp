#include "vanilladyke/policy/place_book.hpp"

#include "vanilladyke/policy/place_grantors.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr PlaceTerms Terms{2, 0, 4};

PlaceAsk askOf(std::uint64_t id, Duration patience = {}, int urgency = 5)
{
    return {1, id, 0, urgency, patience};
}

PlaceReturn served(std::uint64_t id)
{
    return {1, id, PlaceEnd::Served, std::nullopt, std::nullopt};
}

TEST(PlaceBook, GrantsNoMorePlacesThanTheEngineHas)
{
    PlaceBook book(Terms, Start, Start);
    EXPECT_EQ(book.ask(askOf(1), 0, Start).verdict, PlaceVerdict::Granted);
    EXPECT_EQ(book.ask(askOf(2), 0, Start).verdict, PlaceVerdict::Granted);
    const PlaceAnswer third = book.ask(askOf(3), 0, Start);
    EXPECT_EQ(third.verdict, PlaceVerdict::Denied);
    EXPECT_GT(third.retryAfter, Duration::zero());
    book.giveBack(served(1), Start + milliseconds(20));
    EXPECT_EQ(book.ask(askOf(4), 0, Start + milliseconds(20)).verdict, PlaceVerdict::Granted);
}

// A repeated ask is answered alike, or a lost answer would cost a second place.
TEST(PlaceBook, ARepeatedAskGetsTheSamePlace)
{
    PlaceBook book(Terms, Start, Start);
    EXPECT_EQ(book.ask(askOf(1), 0, Start).verdict, PlaceVerdict::Granted);
    EXPECT_EQ(book.ask(askOf(1), 0, Start + milliseconds(25)).verdict, PlaceVerdict::Granted);
    EXPECT_EQ(book.held(), 1U);
}

TEST(PlaceBook, TheMostUrgentRequestThatWaitsGetsTheNextPlace)
{
    PlaceBook book({1, 0, 4}, Start, Start);
    EXPECT_EQ(book.ask(askOf(1), 0, Start).verdict, PlaceVerdict::Granted);
    EXPECT_EQ(book.ask(askOf(2, seconds(1), 6), 0, Start).verdict, PlaceVerdict::Queued);
    EXPECT_EQ(book.ask(askOf(3, seconds(1), 2), 0, Start).verdict, PlaceVerdict::Queued);
    book.giveBack(served(1), Start + milliseconds(20));
    const auto granted = book.grantQueued(0, Start + milliseconds(20));
    ASSERT_EQ(granted.size(), 1U);
    EXPECT_EQ(granted[0].id, 3U);
    // One whose patience is over is not granted a place that nobody would use.
    book.giveBack(served(3), Start + seconds(2));
    EXPECT_TRUE(book.grantQueued(0, Start + seconds(2)).empty());
}

// Guards against a second rejection right after the first ones: the engine has less room than its
// slots say, and half of what it bears is spent.
TEST(PlaceBook, RejectionsReduceThePlacesAndThenHoldAllBack)
{
    PlaceBook book({4, 0, 4}, Start, Start);
    for (std::uint64_t id = 11; id <= 14; ++id) { // the places grow with each answer
        EXPECT_EQ(book.ask(askOf(id), 0, Start).verdict, PlaceVerdict::Granted);
        book.giveBack(served(id), Start);
    }
    for (std::uint64_t id = 1; id <= 4; ++id) {
        EXPECT_EQ(book.ask(askOf(id), 0, Start).verdict, PlaceVerdict::Granted);
    }
    book.giveBack({1, 4, PlaceEnd::Rejected, 2, 0}, Start + milliseconds(5));
    EXPECT_EQ(book.places(), 2);
    book.giveBack({1, 3, PlaceEnd::Rejected, 2, 0}, Start + milliseconds(6));
    book.giveBack(served(1), Start + milliseconds(50));
    book.giveBack(served(2), Start + milliseconds(50));
    EXPECT_EQ(book.ask(askOf(5), 0, Start + milliseconds(60)).verdict, PlaceVerdict::Denied);
    EXPECT_EQ(book.ask(askOf(6), 0, Start + milliseconds(1010)).verdict, PlaceVerdict::Granted);
    // One place more is tried only after a pause that grows with each failure.
    EXPECT_EQ(book.ask(askOf(7), 0, Start + milliseconds(1010)).verdict, PlaceVerdict::Granted);
    EXPECT_EQ(book.ask(askOf(8), 0, Start + milliseconds(1010)).verdict, PlaceVerdict::Denied);
    EXPECT_EQ(book.ask(askOf(9), 0, Start + seconds(5)).verdict, PlaceVerdict::Granted);
}

// A new grantor does not know what the former one granted.
TEST(PlaceBook, ANewBookWaitsAndThenCountsWhatNodesTell)
{
    PlaceBook book(Terms, Start + milliseconds(200), Start);
    EXPECT_EQ(book.ask(askOf(1), 0, Start).verdict, PlaceVerdict::Denied);
    EXPECT_EQ(book.ask(askOf(2), 2, Start + milliseconds(300)).verdict, PlaceVerdict::Denied);
    EXPECT_EQ(book.ask(askOf(3), 1, Start + milliseconds(300)).verdict, PlaceVerdict::Granted);
}

// A return that was lost, or a node that ended, must not keep a place for good.
TEST(PlaceBook, PlacesThatANodeDoesNotUseAnyMoreAreFree)
{
    PlaceBook book(Terms, Start, Start);
    EXPECT_EQ(book.ask(askOf(1), 0, Start).verdict, PlaceVerdict::Granted);
    EXPECT_EQ(book.ask(askOf(2), 0, Start).verdict, PlaceVerdict::Granted);
    book.nodeTold(1, 0, Start + milliseconds(100)); // sent before the grant arrived, perhaps
    EXPECT_EQ(book.held(), 2U);
    book.nodeTold(1, 1, Start + seconds(1));
    EXPECT_EQ(book.held(), 1U);
    book.nodeGone(1);
    EXPECT_EQ(book.held(), 0U);
}

TEST(PlaceBook, TheEngineMayNoticeAnAbortLate)
{
    PlaceBook book({1, 0, 4}, Start, Start);
    EXPECT_EQ(book.ask(askOf(1), 0, Start).verdict, PlaceVerdict::Granted);
    book.giveBack({1, 1, PlaceEnd::Aborted, std::nullopt, std::nullopt}, Start);
    EXPECT_EQ(book.ask(askOf(2), 0, Start + milliseconds(50)).verdict, PlaceVerdict::Denied);
    EXPECT_EQ(book.ask(askOf(3), 0, Start + milliseconds(150)).verdict, PlaceVerdict::Granted);
}

TEST(PlaceGrantors, AllNodesSelectTheSameLiveNode)
{
    constexpr std::uint64_t Nodes = 72;
    std::vector<PlaceGrantors> views;
    for (std::uint64_t self = 1; self <= Nodes; ++self) {
        PlaceGrantors &view = views.emplace_back(self);
        view.setListening(true, Start);
        for (std::uint64_t other = 1; other <= Nodes; ++other) {
            if (other != self) {
                view.nodeSeen(other, other != 5, Start);
            }
        }
    }
    views[4].setGranting(false);
    for (std::uint64_t engine = 1; engine <= 100; ++engine) {
        const std::uint64_t grantor = views[0].grantorOf(engine, Start);
        EXPECT_NE(grantor, 5U); // it stops
        for (const PlaceGrantors &view : views) {
            EXPECT_EQ(view.grantorOf(engine, Start), grantor);
        }
    }
}

TEST(PlaceGrantors, ANodeThatIsNotHeardOfIsPassedOver)
{
    PlaceGrantors view(1);
    view.setListening(true, Start);
    EXPECT_FALSE(view.isSettled(Start)); // others may be there
    EXPECT_TRUE(view.isSettled(Start + view.handoverPause()));
    view.nodeSeen(2, true, Start);
    view.nodeSeen(3, true, Start);
    EXPECT_EQ(view.share(Start), 1);
    const TimePoint later = Start + PlaceGrantors::MinLifetime + milliseconds(1);
    view.nodeSeen(3, true, later);
    for (std::uint64_t engine = 1; engine <= 50; ++engine) {
        EXPECT_NE(view.grantorOf(engine, later), 2U);
    }
    EXPECT_EQ(view.takeGone(later), std::vector<std::uint64_t>{2});
    EXPECT_TRUE(view.takeGone(later).empty());
    EXPECT_EQ(view.share(later), 1);
    // Most nodes are not heard of: they may have a grantor of their own.
    const TimePoint alone = later + PlaceGrantors::MinLifetime + milliseconds(1);
    EXPECT_LT(view.share(alone), 0.5);
    EXPECT_EQ(view.grantorOf(7, alone), 1U);
}

} // namespace
} // namespace vanilladyke
