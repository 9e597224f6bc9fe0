#include "vanilladyke/policy/admission.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <queue>
#include <unordered_map>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1000)};

/// A simulated call: its parameters and its state.
struct Call
{
    std::string customer = "a";
    Duration slotTime = milliseconds(100);
    Duration firstToken = milliseconds(20);
    Duration timeout = seconds(1); ///< from sending to the first-token deadline
    Priority priority = Priority::Normal;
    bool retries = false;

    TimePoint sentAt;
    TimePoint deadline;
    bool isRetry = false;
};

struct Tally
{
    int sent = 0;
    int answered = 0;
    int late = 0;
    int refused = 0;
    int givenUp = 0; ///< refused after waiting in the queue
    int returned = 0;
    int returnsRefused = 0;
    Duration longestWait{};
    Duration work{};
};

/// Engines with a fixed number of slots. Jobs take the predicted time multiplied by `slowness`.
class FakeEngines
{
public:
    FakeEngines(std::uint32_t slots, std::size_t capacity)
        : m_admission(capacity)
    {
        static_cast<void>(m_admission.setSlots(slots, Start));
    }

    void sendAt(TimePoint at, const Call &call)
    {
        m_events.push({at, m_order++, [=, this] { arrive(call); }});
    }

    void sendEvery(Duration gap, TimePoint from, TimePoint until, const Call &call)
    {
        for (TimePoint at = from; at < until; at += gap) {
            sendAt(at, call);
        }
    }

    void loseSlotsAt(TimePoint at, std::uint32_t left)
    {
        m_events.push({at, m_order++, [=, this] { giveUp(m_admission.setSlots(left, m_now)); }});
    }

    void run(TimePoint until)
    {
        while (!m_events.empty() && m_events.top().at < until) {
            const Event event = m_events.top();
            const TimePoint expiry = m_admission.nextExpiry().value_or(TimePoint::max());
            if (expiry < event.at) {
                m_now = expiry + Duration(1);
                giveUp(m_admission.expire(m_now));
                continue;
            }
            m_events.pop();
            m_now = event.at;
            event.act();
        }
    }

    std::map<std::string, Tally> tallies;
    double slowness = 1.0; ///< measured against predicted times
    Tally &all() { return tallies["*"]; }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    template <typename Change>
    void tally(const Call &call, const Change &change)
    {
        change(tallies[call.customer]);
        change(all());
    }

    void arrive(Call call)
    {
        call.sentAt = m_now;
        call.deadline = m_now + call.timeout;
        const QueueTicket ticket{++m_tickets};
        const AdmissionDecision decision =
                m_admission.decide({ticket, CustomerId(call.customer), 1.0, call.priority,
                                    call.slotTime, call.firstToken, call.deadline},
                                   m_now);
        tally(call, [&](Tally &t) {
            ++t.sent;
            t.returned += call.isRetry ? 1 : 0;
        });
        m_calls[static_cast<std::uint64_t>(ticket)] = call;
        if (decision.verdict == AdmissionVerdict::Start) {
            start(ticket);
        } else if (decision.verdict == AdmissionVerdict::Refuse) {
            refuse(ticket, decision.retryAt);
        }
    }

    void start(QueueTicket ticket)
    {
        const Call call = m_calls.at(static_cast<std::uint64_t>(ticket));
        const auto actual = [&](Duration span) {
            return std::chrono::duration_cast<Duration>(span * slowness);
        };
        const TimePoint firstToken = m_now + actual(call.firstToken);
        m_admission.observeFirstToken(call.firstToken, actual(call.firstToken));
        tally(call, [&](Tally &t) {
            ++t.answered;
            t.late += firstToken > call.deadline ? 1 : 0;
            t.longestWait = std::max(t.longestWait, m_now - call.sentAt);
            t.work += call.slotTime;
        });
        const TimePoint end = m_now + actual(call.slotTime);
        m_events.push({end, m_order++, [=, this] {
                           m_admission.release(ticket, m_now);
                           while (const auto next = m_admission.startNext(m_now)) {
                               start(next->ticket);
                           }
                       }});
    }

    void refuse(QueueTicket ticket, std::optional<TimePoint> retryAt)
    {
        Call call = m_calls.at(static_cast<std::uint64_t>(ticket));
        tally(call, [&](Tally &t) {
            ++t.refused;
            t.returnsRefused += call.isRetry ? 1 : 0;
        });
        if (call.retries && retryAt) {
            call.isRetry = true;
            sendAt(*retryAt, call);
        }
    }

    void giveUp(const std::vector<RefusedJob> &jobs)
    {
        for (const RefusedJob &job : jobs) {
            EXPECT_LE(m_now, m_calls.at(static_cast<std::uint64_t>(job.job.ticket)).deadline);
            tally(m_calls.at(static_cast<std::uint64_t>(job.job.ticket)),
                  [](Tally &t) { ++t.givenUp; });
            refuse(job.job.ticket, job.retryAt);
        }
    }

    Admission m_admission;
    std::priority_queue<Event> m_events;
    std::unordered_map<std::uint64_t, Call> m_calls;
    TimePoint m_now = Start;
    std::uint64_t m_order = 0;
    std::uint64_t m_tickets = 0;
};

// A hundred requests arrive at once where sixteen fit. Those that cannot be served in time must be
// refused immediately, not at their deadline.
TEST(Admission, AdmitsAsMuchOfABurstAsCanBeServedInTime)
{
    FakeEngines engines(4, 1000);
    for (int i = 0; i < 100; ++i) {
        engines.sendAt(Start, {});
    }
    engines.run(Start + seconds(10));
    EXPECT_GE(engines.all().answered, 36);
    EXPECT_EQ(engines.all().answered + engines.all().refused, 100);
    EXPECT_EQ(engines.all().late, 0);
    EXPECT_EQ(engines.all().givenUp, 0);
}

// Twice the capacity arrives for half a minute. Without admission control the queue would grow
// until every answer is late.
TEST(Admission, KeepsGoodputAtTwiceTheCapacityWithoutLateAnswers)
{
    FakeEngines engines(8, 1000);
    const TimePoint end = Start + seconds(30);
    engines.sendEvery(std::chrono::microseconds(6250), Start, end, {});
    engines.run(end);
    const double capacity = 8 * 30;
    EXPECT_GE(secondsOf(engines.all().work), 0.95 * capacity);
    EXPECT_EQ(engines.all().late, 0);
    EXPECT_LE(engines.all().givenUp, engines.all().refused / 100);
}

// As above, but every refused caller retries at the time it was given. Without reservations most of
// them would find the capacity taken by a request that arrived just before.
TEST(Admission, AdmitsRetriesAtTheirReservedTime)
{
    FakeEngines engines(8, 1000);
    const TimePoint end = Start + seconds(30);
    Call call;
    call.retries = true;
    engines.sendEvery(std::chrono::microseconds(6250), Start, end, call);
    engines.run(end);
    EXPECT_GE(engines.all().returned, 500);
    EXPECT_LE(engines.all().returnsRefused, engines.all().returned / 50);
    EXPECT_GE(secondsOf(engines.all().work), 0.95 * 8 * 30);
    EXPECT_EQ(engines.all().late, 0);
}

// A hot customer sends ten times the capacity of the engines, a small one a fifth of it. The small
// customer stays within its share, so its requests must not be refused or delayed.
TEST(Admission, ServesASmallCustomerBesideAHotOne)
{
    FakeEngines engines(8, 200);
    const TimePoint end = Start + seconds(20);
    Call hot;
    hot.customer = "hot";
    hot.retries = true;
    Call small;
    small.customer = "small";
    engines.sendEvery(std::chrono::microseconds(1250), Start, end, hot);
    engines.sendEvery(milliseconds(62), Start + milliseconds(7), end, small);
    engines.run(end);
    EXPECT_EQ(engines.tallies["small"].refused, 0);
    EXPECT_LE(engines.tallies["small"].longestWait, milliseconds(200));
    EXPECT_GE(secondsOf(engines.all().work), 0.95 * 8 * 20);
}

// Long drafts hold every slot for seconds. Short checks of another customer must get the next
// released slots, ahead of the drafts in the queue.
TEST(Admission, ServesShortChecksAmongLongDrafts)
{
    FakeEngines engines(16, 200);
    const TimePoint end = Start + seconds(40);
    Call draft;
    draft.customer = "drafts";
    draft.slotTime = seconds(4);
    draft.timeout = seconds(10);
    Call check;
    check.customer = "checks";
    check.slotTime = milliseconds(50);
    check.timeout = seconds(2);
    engines.sendEvery(milliseconds(200), Start, end, draft);
    engines.sendEvery(milliseconds(100), Start + milliseconds(33), end, check);
    engines.run(end);
    EXPECT_GE(engines.tallies["checks"].answered, 360);
    EXPECT_EQ(engines.all().late, 0);
    EXPECT_GE(engines.tallies["drafts"].answered, 140);
}

// Engines take twice as long as predicted. Without correction by measured times, twice as many
// requests as fit would be admitted, and half of them would be late or refused in the queue.
TEST(Admission, LearnsThatEnginesAreSlowerThanPredicted)
{
    FakeEngines engines(8, 1000);
    engines.slowness = 2.0;
    engines.sendEvery(std::chrono::microseconds(6250), Start, Start + seconds(30), {});
    engines.run(Start + seconds(10));
    const Tally before = engines.all();
    engines.run(Start + seconds(30));
    const Tally after = engines.all();
    EXPECT_EQ(after.late, before.late);
    EXPECT_LE(after.givenUp - before.givenUp, (after.answered - before.answered) / 50);
    EXPECT_GE(secondsOf(after.work - before.work) * 2, 0.95 * 8 * 20);
}

// Three quarters of the slots are lost while requests wait. Those that can no longer be served in
// time must be refused then, not at their deadline.
TEST(Admission, RefusesAtOnceWhatALossOfSlotsMakesLate)
{
    FakeEngines engines(8, 1000);
    for (int i = 0; i < 72; ++i) {
        engines.sendAt(Start, {});
    }
    engines.loseSlotsAt(Start + milliseconds(50), 2);
    engines.run(Start + milliseconds(60));
    EXPECT_GE(engines.all().givenUp, 40);
    engines.run(Start + seconds(10));
    EXPECT_EQ(engines.all().late, 0);
    EXPECT_EQ(engines.all().answered + engines.all().refused, 72);
}

// The prefill of a long prompt alone takes past the deadline. A retry time would make the caller
// retry for ever.
TEST(Admission, GivesNoRetryTimeForWhatCanNeverBeInTime)
{
    Admission admission(10);
    static_cast<void>(admission.setSlots(4, Start));
    const AdmissionDecision decision =
            admission.decide({QueueTicket{1}, CustomerId("a"), 1, Priority::Normal, seconds(3),
                              seconds(2), Start + seconds(1), seconds(2)},
                             Start);
    EXPECT_EQ(decision.verdict, AdmissionVerdict::Refuse);
    EXPECT_EQ(decision.reason, RefusalReason::TooLate);
    EXPECT_FALSE(decision.retryAt.has_value());
}

// Late first tokens have raised the margin beyond every deadline. If no request were admitted,
// nothing would be measured, and the node would refuse all callers long after the engines have
// recovered.
TEST(Admission, RecoversFromAMarginBeyondEveryDeadline)
{
    Admission admission(10);
    static_cast<void>(admission.setSlots(4, Start));
    for (int i = 0; i < 200; ++i) {
        admission.observeFirstToken(milliseconds(10), seconds(10));
    }
    int admitted = 0;
    TimePoint now = Start;
    for (std::uint64_t i = 0; i < 5000; ++i) {
        now += milliseconds(200);
        const AdmissionDecision decision = admission.decide(
                {QueueTicket{i}, CustomerId("a"), 1, Priority::Normal, milliseconds(100),
                 milliseconds(10), now + seconds(1), milliseconds(10)},
                now);
        if (decision.verdict == AdmissionVerdict::Start) {
            ++admitted;
            admission.observeFirstToken(milliseconds(10), milliseconds(10));
            admission.release(QueueTicket{i}, now + milliseconds(100));
        }
    }
    EXPECT_EQ(admitted, 5000);
    EXPECT_LT(admission.margin(), seconds(1));
}

// For any mix of customers, job lengths and deadlines, every call is either answered in time or
// refused before its deadline, exactly once.
RC_GTEST_PROP(Admission, AnswersInTimeOrRefusesBeforeTheDeadline, ())
{
    const auto slots = *rc::gen::inRange<std::uint32_t>(1, 16);
    FakeEngines engines(slots, 100);
    const int calls = *rc::gen::inRange(1, 300);
    for (int i = 0; i < calls; ++i) {
        Call call;
        call.customer = std::to_string(*rc::gen::inRange(0, 4));
        call.slotTime = milliseconds(*rc::gen::inRange(1, 2000));
        call.firstToken = std::min<Duration>(call.slotTime, milliseconds(50));
        call.timeout = milliseconds(*rc::gen::inRange(1, 3000));
        call.priority = static_cast<Priority>(*rc::gen::inRange(0, 3));
        engines.sendAt(Start + milliseconds(*rc::gen::inRange(0, 2000)), call);
    }
    engines.run(Start + std::chrono::minutes(10));
    RC_ASSERT(engines.all().late == 0);
    RC_ASSERT(engines.all().answered + engines.all().refused == calls);
}

} // namespace
} // namespace vanilladyke
