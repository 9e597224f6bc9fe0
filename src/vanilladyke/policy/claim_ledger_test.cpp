#include "vanilladyke/policy/claim_ledger.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration Window = minutes(10);
constexpr WallTime WallStart = WallTime(std::chrono::hours(500'000));

/// An in-memory log, with appends that were reported in doubt and are written later.
struct FakeLog
{
    std::vector<ClaimLogRecord> records;
    std::vector<ClaimBatch> late;

    std::uint64_t append(const ClaimBatch &batch, WallTime wall)
    {
        records.push_back({records.size(), wall, batch});
        return records.size() - 1;
    }
};

struct SubmittedCall
{
    ClaimRequest request;
    std::optional<ClaimVerdict> verdict;
};

/// One process of a node, driven one step at a time.
struct Node
{
    explicit Node(const std::string &process)
        : ledger(ProcessId(process), NodeId(process))
    {
        ledger.configure(Window, 3);
    }

    ClaimLedger ledger;
    std::vector<std::pair<ClaimKey, ClaimNonce>> permits;
    std::optional<ClaimBatch> inProgress;
};

/// Simulation of nodes, callers and a log, driven by random steps.
class ClaimSimulation
{
public:
    explicit ClaimSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < 3; ++i) {
            m_nodes.push_back(newNode());
        }
        for (int i = 0; i < 4; ++i) {
            m_keys.push_back(
                    {CustomerId("brand"), ServiceId("booking"), newUuidV7(WallStart, m_random)});
        }
    }

    void step()
    {
        m_elapsed += milliseconds(uniformBelow(m_random, 200));
        const std::unique_ptr<Node> &chosen = m_nodes.at(uniformBelow(m_random, m_nodes.size()));
        Node &node = *chosen;
        switch (uniformBelow(m_random, 8)) {
        case 0:
            submit(node);
            break;
        case 1:
        case 2:
            append(node);
            break;
        case 3:
        case 4:
            read(node, uniformBelow(m_random, 2) == 0);
            break;
        case 5:
            send(node);
            break;
        case 6:
            deliverLate();
            break;
        default:
            restartRandomly();
            break;
        }
        chosen->ledger.tick(at()); // not `node`: it may have been restarted
        collect();
    }

    /// Stops injecting faults and runs until all work has finished.
    void settle()
    {
        while (!m_log.late.empty()) {
            deliverLate();
        }
        for (int round = 0; round < 400; ++round) {
            m_elapsed += milliseconds(50);
            for (auto &node : m_nodes) {
                finishAppend(*node, 0);
                append(*node, 0);
                read(*node, true);
                send(*node);
                node->ledger.tick(at());
            }
            collect();
        }
    }

    [[nodiscard]] bool foldsAgree() const
    {
        return std::all_of(m_keys.begin(), m_keys.end(), [&](const ClaimKey &key) {
            const ClaimEntry *first = m_nodes.front()->ledger.fold().find(key);
            return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
                const ClaimEntry *entry = node->ledger.fold().find(key);
                return (entry == nullptr) == (first == nullptr)
                       && (entry == nullptr || *entry == *first);
            });
        });
    }

    [[nodiscard]] bool noneSentTwice() const
    {
        return std::all_of(m_sent.begin(), m_sent.end(),
                           [](const auto &each) { return each.second <= 1; });
    }

    /// "Not run", returned to a repeat, must hold for all attempts, past and future.
    [[nodiscard]] bool refusalsAreTrue() const
    {
        return std::all_of(m_submitted.begin(), m_submitted.end(), [&](const auto &each) {
            const auto &[request, verdict] = each.second;
            const auto *refusal = verdict ? std::get_if<Refusal>(&*verdict) : nullptr;
            const bool saysNotRun = refusal != nullptr && refusal->ran == Ran::No;
            return !saysNotRun || !request.repeat
                   || m_sent.count({request.key, request.request}) == 0;
        });
    }

    /// Every call to a node that has not been killed since has its verdict.
    [[nodiscard]] bool allDecided() const
    {
        return std::all_of(m_submitted.begin(), m_submitted.end(), [&](const auto &each) {
            return each.second.verdict || m_lost.contains(each.first);
        });
    }

private:
    [[nodiscard]] ClockReading at() const
    {
        return {TimePoint(seconds(1000)) + m_elapsed, WallStart + m_elapsed};
    }

    std::unique_ptr<Node> newNode()
    {
        return std::make_unique<Node>("p" + std::to_string(++m_processes));
    }

    void submit(Node &node)
    {
        ClaimRequest request;
        request.ticket = ClaimTicket{++m_tickets};
        request.key = m_keys.at(uniformBelow(m_random, m_keys.size()));
        request.request = RequestDigest(uniformBelow(m_random, 8) == 0 ? "other" : "same");
        request.deadline = at().now + milliseconds(500 + uniformBelow(m_random, 4000));
        request.repeat = uniformBelow(m_random, 2) == 0;
        m_submitted[request.ticket] = {request, std::nullopt};
        m_submittedTo[request.ticket] = &node;
        node.ledger.submit(request, at());
    }

    void append(Node &node, std::optional<std::uint64_t> fate = std::nullopt)
    {
        if (!node.inProgress) {
            node.inProgress = node.ledger.nextBatch(at());
            return;
        }
        finishAppend(node, fate ? *fate : uniformBelow(m_random, 6));
    }

    void finishAppend(Node &node, std::uint64_t fate)
    {
        if (!node.inProgress) {
            return;
        }
        const ClaimBatch batch = std::move(*node.inProgress);
        node.inProgress.reset();
        if (fate == 1) {
            node.ledger.appended(AppendResult::NotDone, 0, at());
        } else if (fate == 2) { // written, but the answer was lost
            m_log.append(batch, at().wall);
            node.ledger.appended(AppendResult::InDoubt, 0, at());
        } else if (fate == 3) { // not written yet; may be later
            m_log.late.push_back(batch);
            node.ledger.appended(AppendResult::InDoubt, 0, at());
        } else if (fate == 4) { // written twice
            const std::uint64_t offset = m_log.append(batch, at().wall);
            m_log.append(batch, at().wall);
            node.ledger.appended(AppendResult::Done, offset, at());
        } else {
            node.ledger.appended(AppendResult::Done, m_log.append(batch, at().wall), at());
        }
    }

    void read(Node &node, bool whole)
    {
        ClaimPage page{at().now, 0, m_log.records.size(), {}};
        for (const ClaimLogRecord &record : m_log.records) {
            if (record.offset >= node.ledger.nextOffset()) {
                page.records.push_back(record);
                if (!whole) {
                    break;
                }
            }
        }
        m_elapsed += milliseconds(1);
        node.ledger.read(page, at());
    }

    void send(Node &node)
    {
        if (node.permits.empty()) {
            return;
        }
        const auto [key, nonce] = node.permits.back();
        node.permits.pop_back();
        if (uniformBelow(m_random, 4) == 0) {
            node.ledger.settle(ClaimRelease{key, nonce});
            return;
        }
        ++m_sent[{key, node.ledger.fold().find(key)->request}];
        const bool answered = uniformBelow(m_random, 3) != 0;
        node.ledger.settle(ClaimOutcome{key, nonce,
                                        answered ? OutcomeKind::Answered : OutcomeKind::Unknown,
                                        200, "text/plain", "booked"});
    }

    void deliverLate()
    {
        if (!m_log.late.empty()) {
            m_log.append(m_log.late.back(), at().wall);
            m_log.late.pop_back();
        }
    }

    void restartRandomly()
    {
        if (uniformBelow(m_random, 4) != 0) {
            return;
        }
        auto &node = m_nodes.at(uniformBelow(m_random, m_nodes.size()));
        if (!node->permits.empty() && uniformBelow(m_random, 2) == 0) {
            // Killed right after the call was sent.
            const auto &key = node->permits.back().first;
            ++m_sent[{key, node->ledger.fold().find(key)->request}];
        }
        if (node->inProgress && uniformBelow(m_random, 2) == 0) {
            m_log.late.push_back(*node->inProgress);
        }
        for (const auto &[ticket, target] : m_submittedTo) {
            if (target == node.get()) {
                m_lost.insert(ticket);
            }
        }
        node = newNode();
    }

    void collect()
    {
        for (auto &node : m_nodes) {
            for (ClaimDecision &decision : node->ledger.takeDecisions()) {
                SubmittedCall &call = m_submitted.at(decision.ticket);
                if (const auto *permit = std::get_if<SendPermit>(&decision.verdict)) {
                    node->permits.emplace_back(call.request.key, permit->nonce);
                }
                call.verdict = std::move(decision.verdict);
            }
        }
    }

    Random m_random;
    Duration m_elapsed{};
    FakeLog m_log;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<ClaimKey> m_keys;
    std::map<ClaimTicket, SubmittedCall> m_submitted;
    std::map<ClaimTicket, const Node *> m_submittedTo;
    std::set<ClaimTicket> m_lost; ///< submitted to a node that has been killed since
    std::map<std::pair<ClaimKey, RequestDigest>, int> m_sent;
    std::uint64_t m_processes = 0;
    std::uint64_t m_tickets = 0;
};

/// Runs a simulation and returns the violated invariants.
std::vector<std::string> violationsOf(std::uint64_t seed)
{
    ClaimSimulation simulation(seed);
    for (int i = 0; i < 400; ++i) {
        simulation.step();
    }
    simulation.settle();
    std::vector<std::string> violations;
    const auto check = [&](bool holds, const char *violation) {
        if (!holds) {
            violations.emplace_back(violation);
        }
    };
    check(simulation.noneSentTwice(), "a call was sent twice");
    check(simulation.refusalsAreTrue(), "a refusal stated \"not run\" of a call that was sent");
    check(simulation.foldsAgree(), "the nodes disagree on the owner of a key");
    check(simulation.allDecided(), "a call got no verdict");
    return violations;
}

// Guards against duplicate execution and false "not run" refusals while nodes are killed and
// restarted, appends are lost, delayed or duplicated, and callers repeat their calls at any node.
RC_GTEST_PROP(ClaimLedger, AtMostOneSenderAndTrueRefusalsOverAnyInterleaving, (std::uint64_t seed))
{
    RC_ASSERT(violationsOf(seed) == std::vector<std::string>());
}

// Guards against an owner that differs between nodes: an append was written twice, and the node
// read the first copy before the append was confirmed. It did not apply the records of the second
// copy that it had read already, unlike all other nodes.
TEST(ClaimLedger, SeedsOfPastFailures)
{
    for (const std::uint64_t seed : {15601420UL, 4302193093078UL, 188864944128732UL}) {
        EXPECT_EQ(violationsOf(seed), std::vector<std::string>()) << seed;
    }
}

class OneNode : public testing::Test
{
protected:
    OneNode()
    {
        m_ledger.configure(Window, 1);
        m_ledger.read({m_at.now, 0, 0, {}}, m_at);
    }

    ClaimRequest request(std::uint64_t ticket, bool repeat = false) const
    {
        return {ClaimTicket{ticket}, m_key, RequestDigest("d"), m_at.now + seconds(10), repeat};
    }

    void advance(Duration span)
    {
        m_at.now += span;
        m_at.wall += span;
    }

    ClaimVerdict onlyVerdict()
    {
        const auto decisions = m_ledger.takeDecisions();
        EXPECT_EQ(decisions.size(), 1U);
        return decisions.at(0).verdict;
    }

    ClockReading m_at{TimePoint(seconds(1000)), WallStart};
    Random m_random{7};
    ClaimKey m_key{CustomerId("brand"), ServiceId("booking"), newUuidV7(WallStart, m_random)};
    ClaimLedger m_ledger{ProcessId("p"), NodeId("n")};
};

TEST_F(OneNode, CallsThatWaitShareOneAppend)
{
    for (std::uint64_t i = 1; i <= 5; ++i) {
        ClaimRequest each = request(i);
        each.key.key = newUuidV7(WallStart, m_random);
        m_ledger.submit(each, m_at);
    }
    const auto batch = m_ledger.nextBatch(m_at);
    ASSERT_TRUE(batch.has_value());
    EXPECT_EQ(batch->size(), 5U);
    m_ledger.appended(AppendResult::Done, 0, m_at);
    EXPECT_EQ(m_ledger.takeDecisions().size(), 5U);
}

// Guards against duplicate records and blocked keys after the log's answer to an append was lost:
// the node must read the log before it appends anything again.
TEST_F(OneNode, ALostAnswerIsResolvedByReadingTheLog)
{
    m_ledger.submit(request(1), m_at);
    const ClaimBatch batch = m_ledger.nextBatch(m_at).value();
    m_ledger.appended(AppendResult::InDoubt, 0, m_at);
    advance(seconds(1));
    EXPECT_FALSE(m_ledger.nextBatch(m_at).has_value());
    m_ledger.read({m_at.now, 0, 1, {{0, m_at.wall, batch}}}, m_at);
    EXPECT_TRUE(std::holds_alternative<SendPermit>(onlyVerdict()));
    EXPECT_FALSE(m_ledger.nextBatch(m_at).has_value());
}

// Guards against sending a call that was refused during an outage of the log: if its claim appears
// in the log later, the key must be released and the call never sent.
TEST_F(OneNode, ARefusedClaimIsNeverSentAndReleasesTheKeyOnceItIsRead)
{
    m_ledger.submit(request(1), m_at);
    const ClaimBatch batch = m_ledger.nextBatch(m_at).value();
    m_ledger.appended(AppendResult::InDoubt, 0, m_at);
    advance(ClaimTimeout);
    m_ledger.tick(m_at);
    const auto refusal = std::get<Refusal>(onlyVerdict());
    EXPECT_EQ(refusal.reason, RefusalReason::LogUnavailable);
    EXPECT_EQ(refusal.ran, Ran::No);
    m_ledger.read({m_at.now, 0, 1, {{0, m_at.wall, batch}}}, m_at);
    EXPECT_TRUE(m_ledger.takeDecisions().empty());
    const auto release = m_ledger.nextBatch(m_at);
    ASSERT_TRUE(release.has_value());
    EXPECT_TRUE(std::holds_alternative<ClaimRelease>(release->front()));
}

// Guards against duplicate execution: the first attempt reached another node, whose connection to
// the caller broke, and this node cannot read the log. On "not run" the caller would repeat the
// call under a new key.
TEST_F(OneNode, ARepeatIsRefusedAsUnknownWhileTheLogIsDown)
{
    m_ledger.submit(request(1, true), m_at);
    advance(ClaimTimeout);
    m_ledger.tick(m_at);
    EXPECT_EQ(std::get<Refusal>(onlyVerdict()).ran, Ran::Unknown);
}

TEST_F(OneNode, ARepeatGetsTheAnswerBeforeItsRecordIsInTheLog)
{
    m_ledger.submit(request(1), m_at);
    static_cast<void>(m_ledger.nextBatch(m_at));
    m_ledger.appended(AppendResult::Done, 0, m_at);
    const auto permit = std::get<SendPermit>(onlyVerdict());
    m_ledger.submit(request(2), m_at);
    EXPECT_TRUE(m_ledger.takeDecisions().empty());
    m_ledger.settle(ClaimOutcome{m_key, permit.nonce, OutcomeKind::Answered, 201, "", "booked"});
    m_ledger.tick(m_at);
    EXPECT_EQ(std::get<ClaimOutcome>(onlyVerdict()).body, "booked");
    EXPECT_FALSE(m_ledger.idle());
}

TEST_F(OneNode, AClaimSeenAfterItsDeadlineIsNotSent)
{
    m_ledger.submit(request(1), m_at);
    static_cast<void>(m_ledger.nextBatch(m_at));
    advance(seconds(20)); // the process was paused
    m_ledger.appended(AppendResult::Done, 0, m_at);
    EXPECT_EQ(std::get<Refusal>(onlyVerdict()).reason, RefusalReason::TooLate);
}

TEST_F(OneNode, TheSameKeyWithAnotherBodyIsRefused)
{
    m_ledger.submit(request(1), m_at);
    static_cast<void>(m_ledger.nextBatch(m_at));
    m_ledger.appended(AppendResult::Done, 0, m_at);
    static_cast<void>(onlyVerdict());
    ClaimRequest other = request(2, true);
    other.request = RequestDigest("other");
    m_ledger.submit(other, m_at);
    const auto refusal = std::get<Refusal>(onlyVerdict());
    EXPECT_EQ(refusal.reason, RefusalReason::KeyReused);
    EXPECT_EQ(refusal.ran, Ran::No);
}

// Guards against accepting a key beyond the claim window: earlier calls with it are no longer
// recorded, so neither sending it nor refusing it as "not run" is safe.
TEST_F(OneNode, AnExpiredKeyIsNeitherSentNorCalledNotRun)
{
    advance(Window + seconds(1));
    m_ledger.submit(request(1), m_at);
    const auto refusal = std::get<Refusal>(onlyVerdict());
    EXPECT_EQ(refusal.reason, RefusalReason::KeyExpired);
    EXPECT_EQ(refusal.ran, Ran::Unknown);
}

// Guards against treating a stale read as a log that lost records: a read that began before this
// node's append returns the state before it. The node would refuse every key of the window.
TEST_F(OneNode, AnAnswerFromBeforeTheOwnAppendChangesNothing)
{
    const TimePoint before = m_at.now;
    advance(milliseconds(5));
    m_ledger.submit(request(1), m_at);
    static_cast<void>(m_ledger.nextBatch(m_at));
    m_ledger.appended(AppendResult::Done, 0, m_at);
    m_ledger.read({before, 0, 0, {}}, m_at);
    EXPECT_EQ(m_ledger.nextOffset(), 1U);
    EXPECT_TRUE(m_ledger.fold().covers(m_key.key));
}

// Guards against appending a malformed outcome, here with a content type of 1024 bytes: readers
// refuse the record together with all others of its append.
TEST_F(OneNode, AnOutcomeThatReadersWouldRefuseIsNotAppended)
{
    m_ledger.submit(request(1), m_at);
    static_cast<void>(m_ledger.nextBatch(m_at));
    m_ledger.appended(AppendResult::Done, 0, m_at);
    const auto permit = std::get<SendPermit>(onlyVerdict());
    m_ledger.settle(ClaimOutcome{m_key, permit.nonce, OutcomeKind::Answered, 200,
                                 std::string(1024, 'x'), ""});
    advance(seconds(1));
    const ClaimBatch batch = m_ledger.nextBatch(m_at).value();
    EXPECT_TRUE(isWellFormed(batch.front()));
    EXPECT_EQ(std::get<ClaimOutcome>(batch.front()).kind, OutcomeKind::AnswerTooLarge);
}

TEST_F(OneNode, ANameThatReadersWouldRefuseIsRefusedBeforeItsClaim)
{
    ClaimRequest each = request(1);
    each.key.customer = CustomerId(std::string(MostNameBytes + 1, 'x'));
    m_ledger.submit(each, m_at);
    EXPECT_EQ(std::get<Refusal>(onlyVerdict()).reason, RefusalReason::BadRequest);
    EXPECT_FALSE(m_ledger.nextBatch(m_at).has_value());
}

TEST(AppendPacer, ASingleAppendNeverWaitsAndABurstIsLimitedToTheShare)
{
    AppendPacer pacer;
    pacer.setLiveNodes(3);
    TimePoint now(seconds(1000));
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        taken += pacer.tryTake(now) ? 1 : 0;
        now += milliseconds(1);
    }
    EXPECT_NEAR(taken, 10 * AppendsPerSecond / 3, AppendBurst + 1);
    while (pacer.tryTake(now)) {
    }
    const TimePoint ready = pacer.readyAt();
    EXPECT_GT(ready, now);
    EXPECT_FALSE(pacer.tryTake(ready - milliseconds(2)));
    EXPECT_TRUE(pacer.tryTake(ready));
    EXPECT_TRUE(pacer.tryTake(now + seconds(1)));
    pacer.failed(now + seconds(1));
    EXPECT_FALSE(pacer.tryTake(now + seconds(1)));
}

} // namespace
} // namespace vanilladyke
