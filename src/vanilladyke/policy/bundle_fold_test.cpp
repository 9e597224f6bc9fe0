#include "vanilladyke/policy/bundle_fold.hpp"

#include "vanilladyke/base/random.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr Duration Retention = minutes(60);

SigningKey keyOf(unsigned char seed)
{
    std::array<unsigned char, 32> bytes{};
    bytes.fill(seed);
    return signingKeyOf(bytes);
}

const SigningKey ana = keyOf(1);
const SigningKey bola = keyOf(2);
const SigningKey stranger = keyOf(3);

TrustedSigners bothTrusted()
{
    return {{verifyKeyOf(ana), verifyKeyOf(bola)}, 2};
}

std::string bundleText(std::uint64_t version, const std::string &parent, const std::string &author)
{
    return "{\"version\":" + std::to_string(version) + ",\"parent\":\"" + parent
           + "\",\"author\":\"" + author + "\"}";
}

std::string recordOf(const std::string &text, const std::vector<SigningKey> &signers,
                     const std::string &nonce = "n")
{
    BundleRecord record;
    record.nonce = nonce;
    record.bundle.text = text;
    for (const SigningKey &signer : signers) {
        record.bundle.signatures.push_back(signBundleText(signer, text));
    }
    return writeBundleRecord(record);
}

/// The platform's log in memory.
class Log
{
public:
    LogOffset append(std::string data)
    {
        m_records.push_back({m_next, WallTime(milliseconds(m_next)), std::move(data)});
        return m_next++;
    }

    void drop(std::size_t count)
    {
        m_records.erase(m_records.begin(),
                        m_records.begin()
                                + static_cast<std::ptrdiff_t>(std::min(count, m_records.size())));
    }

    [[nodiscard]] LogPage read(LogOffset from, std::size_t limit = 1000) const
    {
        LogPage page;
        page.firstOffset = m_records.empty() ? m_next : m_records.front().offset;
        page.nextOffset = m_next;
        for (const LogRecord &record : m_records) {
            if (record.offset >= from && page.records.size() < limit) {
                page.records.push_back(record);
            }
        }
        return page;
    }

    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    LogOffset m_next = 0;
    std::vector<LogRecord> m_records;
};

void readAll(BundleFold &fold, const Log &log, std::size_t limit = 1000)
{
    do {
        static_cast<void>(fold.apply(log.read(fold.next(), limit)));
    } while (!fold.caughtUp());
}

std::uint64_t versionOf(const BundleFold &fold)
{
    return fold.accepted() ? fold.accepted()->entry.version : 0;
}

std::string acceptedDigest(const BundleFold &fold)
{
    return fold.accepted() ? fold.accepted()->entry.digest : "";
}

TEST(BundleFold, TheFirstOfTwoConcurrentPublicationsIsAcceptedAndTheOtherLosesTheRace)
{
    Log log;
    const std::string first = bundleText(1, "", "ana");
    log.append(recordOf(first, {ana, bola}));
    log.append(recordOf(bundleText(2, digestOf(first), "ana"), {ana, bola}, "winner"));
    log.append(recordOf(bundleText(2, digestOf(first), "bola"), {ana, bola}, "loser"));
    BundleFold fold(bothTrusted());
    const std::vector<FoldNote> notes = fold.apply(log.read(0));
    ASSERT_EQ(notes.size(), 3U);
    EXPECT_EQ(notes[1].verdict, FoldVerdict::Accepted);
    EXPECT_EQ(notes[2].verdict, FoldVerdict::LostRace);
    EXPECT_EQ(notes[2].nonce, "loser");
    EXPECT_EQ(notes[2].acceptedVersion, 2U);
    EXPECT_EQ(fold.history().size(), 2U);
}

TEST(BundleFold, CountsEachTrustedSignerOnceAndOnlyForTheSignedText)
{
    const std::string text = bundleText(1, "", "ana");
    const std::string altered = recordOf(text, {ana, bola});
    std::string otherText = altered;
    otherText.replace(otherText.find("ana"), 3, "eve");
    for (const std::string &data :
         {recordOf(text, {}), recordOf(text, {ana}), recordOf(text, {ana, ana}),
          recordOf(text, {ana, stranger}), otherText}) {
        Log log;
        log.append(data);
        BundleFold fold(bothTrusted());
        EXPECT_EQ(fold.apply(log.read(0)).at(0).verdict, FoldVerdict::Refused);
        EXPECT_FALSE(fold.accepted().has_value());
    }
}

// Another program writes into the stream, or a record is corrupted. Guards against a fold that
// stops there, so that no node could accept a new bundle.
TEST(BundleFold, RefusesMalformedRecordsWithAReasonAndContinues)
{
    Log log;
    for (const char *garbage : {"", "null", "[]", "{", "{\"nonce\":1}",
                                "{\"nonce\":\"x\",\"bundle\":\"{}\",\"signatures\":[]}",
                                R"({"nonce":"x","bundle":"{}","signatures":7})"}) {
        log.append(garbage);
    }
    log.append(std::string(100'000, '['));
    log.append(recordOf(bundleText(1, "", "ana"), {ana, bola}));
    BundleFold fold(bothTrusted());
    const std::vector<FoldNote> notes = fold.apply(log.read(0));
    for (std::size_t i = 0; i + 1 < notes.size(); ++i) {
        EXPECT_EQ(notes[i].verdict, FoldVerdict::Refused);
        EXPECT_FALSE(notes[i].reason.empty());
    }
    EXPECT_EQ(versionOf(fold), 1U);
}

// A paused node appends its checkpoint after a newer bundle was accepted, the log drops the oldest
// records, and another node starts. Guards against the new node accepting the older bundle.
TEST(BundleFold, AStaleCheckpointDoesNotRestoreAnOlderBundle)
{
    Log log;
    const std::string first = bundleText(1, "", "ana");
    log.append(recordOf(first, {ana, bola}));
    BundleFold paused(bothTrusted());
    readAll(paused, log);
    BundleRecord stale = *paused.checkpointDue(WallTime(Retention), Retention);
    log.append(recordOf(bundleText(2, digestOf(first), "ana"), {ana, bola}));
    log.append(writeBundleRecord(stale));
    log.drop(1);
    BundleFold started(bothTrusted());
    readAll(started, log);
    EXPECT_EQ(versionOf(started), 2U);
    log.drop(1);
    BundleFold startedLater(bothTrusted());
    readAll(startedLater, log);
    EXPECT_EQ(versionOf(startedLater), 0U) << "the only checkpoint left is from before the gap";
}

// Of two concurrent publications, the log drops the accepted one before a node has read it. Guards
// against that node accepting the other one, so that two bundles would be in force at once.
TEST(BundleFold, AfterAGapThePublicationThatLostARaceIsNotAccepted)
{
    Log log;
    const std::string first = bundleText(1, "", "ana");
    log.append(recordOf(first, {ana, bola}));
    BundleFold lagging(bothTrusted());
    readAll(lagging, log);
    const std::string winner = bundleText(2, digestOf(first), "ana");
    log.append(recordOf(winner, {ana, bola}));
    log.append(recordOf(bundleText(2, digestOf(first), "bola"), {ana, bola}));
    BundleFold current(bothTrusted());
    readAll(current, log);
    log.drop(2);
    readAll(lagging, log);
    EXPECT_EQ(versionOf(lagging), 1U);
    EXPECT_FALSE(lagging.isComplete());
    log.append(writeBundleRecord(*current.checkpointDue(WallTime(Retention), Retention)));
    readAll(lagging, log);
    EXPECT_EQ(acceptedDigest(lagging), digestOf(winner));
    EXPECT_EQ(lagging.history(), current.history());
}

// All nodes were down for longer than the log keeps records, so the history is lost. Operators must
// be able to start a new one, but only explicitly.
TEST(BundleFold, AfterTheHistoryWasLostOnlyAnExplicitRestartIsAccepted)
{
    Log log;
    const std::string first = bundleText(1, "", "ana");
    log.append(recordOf(first, {ana, bola}));
    BundleFold witness(bothTrusted());
    readAll(witness, log);
    log.drop(1);
    log.append(recordOf(bundleText(2, "", "ana"), {ana, bola}));
    log.append(recordOf(bundleText(3, std::string(RestartParent), "ana"), {ana, bola}));
    BundleFold started(bothTrusted());
    readAll(started, log);
    readAll(witness, log);
    EXPECT_EQ(versionOf(started), 3U);
    EXPECT_EQ(versionOf(witness), 1U) << "a node with an accepted bundle ignores a restart";
}

TEST(BundleFold, ACheckpointIsDueBeforeTheLogDropsWhatReadersNeed)
{
    Log log;
    log.append(recordOf(bundleText(1, "", "ana"), {ana, bola}));
    BundleFold fold(bothTrusted());
    readAll(fold, log);
    EXPECT_FALSE(fold.checkpointDue(WallTime(minutes(1)), Retention).has_value());
    const auto due = fold.checkpointDue(WallTime(minutes(21)), Retention);
    ASSERT_TRUE(due.has_value());
    log.append(writeBundleRecord(*due));
    readAll(fold, log);
    EXPECT_FALSE(fold.checkpointDue(WallTime(minutes(1)), Retention).has_value());
    for (int i = 0; i < 9; ++i) {
        log.append("garbage");
    }
    log.drop(1);
    readAll(fold, log);
    EXPECT_TRUE(fold.checkpointDue(WallTime(minutes(1)), Retention).has_value())
            << "a log that keeps a number of records may drop it by count";
}

/// One step of a random history; the choice is taken modulo the number of candidates.
struct Step
{
    unsigned kind = 0;
    unsigned choice = 0;
};

constexpr unsigned StepKinds = 9;
constexpr std::size_t StepsPerHistory = 80;

/// Publishers, readers and a log that perform random steps.
class RandomHistory
{
public:
    RandomHistory()
        : m_readers(4, BundleFold(bothTrusted()))
        , m_digests(4)
        , m_witness(bothTrusted())
    {}

    void take(const Step &step)
    {
        switch (step.kind) {
        case 0:
        case 1:
            publish(step.choice);
            break;
        case 2:
            appendAgain(step.choice);
            break;
        case 3:
            m_log.append(recordOf(bundleText(step.choice, acceptedDigest(m_witness), "eve"),
                                  {ana, stranger}));
            break;
        case 4:
            m_log.append(std::string(step.choice % 40, '{'));
            break;
        case 5:
            computeCheckpoint(step.choice);
            break;
        case 6:
            appendCheckpoint(step.choice);
            break;
        case 7:
            m_log.drop(step.choice % 4);
            break;
        default:
            read(step.choice);
        }
        readAll(m_witness, m_log);
        check();
    }

    /// All readers, including a new one, catch up after a fresh checkpoint.
    void finish()
    {
        const auto due = m_witness.checkpointDue(WallTime::max(), Duration(1));
        if (!due) {
            return;
        }
        m_log.append(writeBundleRecord(*due));
        m_readers.emplace_back(bothTrusted());
        m_digests.emplace_back();
        readAll(m_witness, m_log);
        for (BundleFold &reader : m_readers) {
            readAll(reader, m_log, 3);
            RC_ASSERT(acceptedDigest(reader) == acceptedDigest(m_witness));
            RC_ASSERT(reader.history() == m_witness.history());
        }
    }

private:
    /// Publishes a child of the accepted bundle or, like a publisher that lags behind, of an older
    /// one.
    void publish(unsigned choice)
    {
        const std::vector<HistoryEntry> &history = m_witness.history();
        const std::size_t back = choice % 3;
        const bool first = history.size() <= back;
        const std::string parent = first ? "" : history[history.size() - 1 - back].digest;
        const std::uint64_t version = first ? 1 : history[history.size() - 1 - back].version + 1;
        const std::string author = std::to_string(choice % 5);
        m_appended.push_back(recordOf(bundleText(version, parent, author), {bola, ana}));
        m_log.append(m_appended.back());
    }

    void appendAgain(unsigned choice)
    {
        if (!m_appended.empty()) {
            m_log.append(m_appended[choice % m_appended.size()]);
        }
    }

    void computeCheckpoint(unsigned choice)
    {
        const BundleFold &reader = m_readers[choice % m_readers.size()];
        if (const auto due = reader.checkpointDue(WallTime::max(), Duration(1))) {
            m_checkpoints.push_back(writeBundleRecord(*due));
        }
    }

    /// Appends a checkpoint that may be old and may have been appended before.
    void appendCheckpoint(unsigned choice)
    {
        if (!m_checkpoints.empty()) {
            m_log.append(m_checkpoints[choice % m_checkpoints.size()]);
        }
    }

    void read(unsigned choice)
    {
        const std::size_t index = choice % m_readers.size();
        if (choice % 3 == 0) {
            m_readers[index] = BundleFold(bothTrusted());
            m_digests[index].clear();
        }
        BundleFold &reader = m_readers[index];
        static_cast<void>(reader.apply(m_log.read(reader.next(), 1 + choice % 9)));
    }

    /// Every bundle that a reader accepts was accepted by the witness, which reads all records, and
    /// no reader returns to an older one.
    void check()
    {
        const std::vector<HistoryEntry> &history = m_witness.history();
        for (std::size_t i = 0; i < m_readers.size(); ++i) {
            const BundleFold &reader = m_readers[i];
            const std::string digest = acceptedDigest(reader);
            const auto position = [&](const std::string &target) {
                return std::find_if(history.begin(), history.end(),
                                    [&](const auto &entry) { return entry.digest == target; });
            };
            RC_ASSERT(digest.empty() || position(digest) != history.end());
            if (!m_digests[i].empty()) {
                RC_ASSERT(position(digest) >= position(m_digests[i]));
            }
            if (reader.isComplete() && reader.next() == m_witness.next()) {
                RC_ASSERT(digest == acceptedDigest(m_witness));
            }
            m_digests[i] = digest;
        }
    }

    Log m_log;
    std::vector<BundleFold> m_readers;
    std::vector<std::string> m_digests; ///< the last accepted bundle of each reader
    BundleFold m_witness;
    std::vector<std::string> m_appended;
    std::vector<std::string> m_checkpoints;
};

RC_GTEST_PROP(BundleFold, EveryReaderAcceptsTheSameBundlesAndNoneReturnsToAnOlderOne, ())
{
    const auto numbers = *rc::gen::container<std::vector<unsigned>>(StepsPerHistory,
                                                                    rc::gen::arbitrary<unsigned>());
    RandomHistory randomHistory;
    for (const unsigned number : numbers) {
        randomHistory.take({number % StepKinds, number / StepKinds});
    }
    randomHistory.finish();
}

RC_GTEST_PROP(BundleRecord, RandomBytesAreRejected, (const std::string &bytes))
{
    RC_ASSERT(!parseBundleRecord(bytes).has_value());
    RC_ASSERT(!parseSignedBundle(bytes).has_value());
    static_cast<void>(parseBundleHeader(bytes));
    static_cast<void>(parseHistory(bytes));
}

TEST(BundleRecord, ADamagedRecordNeverCrashesTheReader)
{
    BundleFold fold(bothTrusted());
    Log log;
    const std::string text = bundleText(1, "", "ana");
    const std::string whole = recordOf(text, {ana, bola});
    log.append(whole);
    readAll(fold, log);
    const std::string checkpoint =
            writeBundleRecord(*fold.checkpointDue(WallTime(Retention), Retention));
    Random random(7);
    for (int i = 0; i < 2000; ++i) {
        std::string damaged = i % 2 == 0 ? whole : checkpoint;
        damaged[uniformBelow(random, damaged.size())] =
                static_cast<char>(uniformBelow(random, 256));
        damaged.resize(damaged.size() - uniformBelow(random, 3));
        const auto record = parseBundleRecord(damaged);
        if (record) {
            static_cast<void>(parseBundleHeader(record->bundle.text));
        }
    }
}

} // namespace
} // namespace vanilladyke
