#pragma once

#include "vanilladyke/model/refusal.hpp"
#include "vanilladyke/policy/append_pacer.hpp"
#include "vanilladyke/policy/claim_fold.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

/// One node's part in calls that may not be repeated: it claims keys in the log, tells which calls
/// may be sent, and records what became of them. Pure: time and answers of the log come in.
namespace vanilladyke {

/// @brief Both clocks at one moment.
struct Moment
{
    TimePoint now;
    WallTime wall;
};

/// @brief Names one waiting call inside this node.
enum class ClaimTicket : std::uint64_t {};

/// @brief A call that wants to be sent at most once.
struct ClaimRequest
{
    ClaimTicket ticket{};
    ClaimKey key;
    RequestDigest request;
    TimePoint deadline;
    bool repeat = false; ///< the caller says that it may have sent the key before
};

/// @brief What a refusal says of a call that this node did not send.
///
/// An earlier try may be under way at another node and be sent yet, so a caller that repeats a key
/// hears "unknown": told "not run" it would book again under a new key. Repeating the key is safe.
[[nodiscard]] Ran ranOfUnsent(const ClaimRequest &request);

/// @brief The call may be sent, once, if its deadline has not passed. Must be settled afterwards.
struct MaySend
{
    ClaimNonce nonce;
};

/// @brief May be sent, the answer of an earlier call with the key, or a refusal.
using ClaimVerdict = std::variant<MaySend, ClaimOutcome, Refusal>;

/// @brief A verdict and whom it is for.
struct ClaimDecision
{
    ClaimTicket ticket{};
    ClaimVerdict verdict;
};

/// @brief What is known of an append once its call to the log has ended.
enum class AppendResult {
    Done,
    NotDone, ///< it has not happened, for sure
    InDoubt, ///< it may have happened, or may still happen
};

/// @brief The records of one offset.
struct ClaimLogRecord
{
    std::uint64_t offset = 0;
    WallTime appendedAt; ///< by the log's clock
    ClaimBatch batch;
};

/// @brief What a read of the log brought.
struct ClaimPage
{
    TimePoint askedAt;             ///< when the read began
    std::uint64_t firstOffset = 0; ///< the oldest that the log still has
    std::uint64_t nextOffset = 0;  ///< what the next append will get
    std::vector<ClaimLogRecord> records;
};

/// @brief How long a call waits for its claim to get into the log. Shorter than most callers'
/// deadlines, so that an outage of the log is told in time to do something else.
inline constexpr Duration ClaimPatience = std::chrono::seconds(2);
inline constexpr std::size_t MostRecordsPerAppend = 512;
inline constexpr std::size_t MostBytesPerAppend = 256U << 10U;

/// @brief The claims of one node.
class ClaimLedger
{
public:
    ClaimLedger(ProcessId process, NodeId node);

    /// @brief The bundle's claim window, and the nodes that share the log's appends.
    void configure(Duration window, std::uint32_t liveNodes);

    void ask(const ClaimRequest &request, Moment at);
    /// @brief The caller is gone or the node gives up waiting; nothing was sent.
    void abandon(ClaimTicket ticket);
    /// @brief The sender tells what came of it, or, by a ClaimRelease, that nothing was sent.
    void settle(const ClaimRecord &record);

    /// @brief What to append now; one append is under way at a time.
    [[nodiscard]] std::optional<ClaimBatch> nextBatch(Moment at);
    /// @brief When something that waits may be appended; none if nothing waits or may go now.
    [[nodiscard]] std::optional<TimePoint> nextAppendAt() const;
    /// @brief How the append of the batch ended.
    /// @param offset where it stands if it is done
    void appended(AppendResult result, std::uint64_t offset, Moment at);
    /// @brief Takes what a read brought.
    void read(const ClaimPage &page, Moment at);
    /// @brief Looks at deadlines and forgets old keys.
    void tick(Moment at);

    /// @brief The verdicts since the last call.
    [[nodiscard]] std::vector<ClaimDecision> takeDecisions();

    /// @brief Whether the log has been read up to its end at least once.
    [[nodiscard]] bool ready() const { return m_readThrough.has_value(); }
    /// @brief Whether all outcomes are in the log and no sender is at work.
    [[nodiscard]] bool idle() const;
    /// @brief Whether a read is urgent: an append's answer was lost, or a claim waits to be seen.
    [[nodiscard]] bool wantsRead() const;
    [[nodiscard]] std::uint64_t nextOffset() const { return m_fold.next(); }
    [[nodiscard]] const ClaimFold &fold() const { return m_fold; }

private:
    struct Waiting
    {
        ClaimRequest request;
        ClaimNonce nonce;
        TimePoint askedAt;
        TimePoint claimBy;
        bool seen = false; ///< its claim stands in the log
    };
    enum class BatchState { None, UnderWay, InDoubt };
    using Step = std::optional<ClaimVerdict>;

    void enqueueClaim(Waiting &waiting);
    void apply(const ClaimLogRecord &record);
    void sawOwn(const ClaimRecord &record);
    void releaseIfUnused(const ClaimKey &key);
    void requeueUnseen();
    void decide(Moment at);
    [[nodiscard]] Step verdictOn(Waiting &waiting, Moment at);
    [[nodiscard]] Step onOwnClaim(const Waiting &waiting, Moment at);
    [[nodiscard]] Step onOthersClaim(const Waiting &waiting, Moment at) const;
    [[nodiscard]] Step onFreeKey(Waiting &waiting, Moment at, bool spent);

    ProcessId m_process;
    NodeId m_node;
    Duration m_window{};
    std::uint64_t m_sequence = 0;
    ClaimFold m_fold;
    AppendPacer m_pacer;
    std::map<ClaimTicket, Waiting> m_waiting;
    std::set<ClaimNonce> m_sending;                      ///< told MaySend and not yet settled
    std::map<ClaimNonce, ClaimOutcome> m_unseenOutcomes; ///< settled here, not yet in the log
    std::deque<ClaimRecord> m_queue;
    ClaimBatch m_batch;  ///< the append under way, whole
    ClaimBatch m_unseen; ///< what of it has not been seen in the log yet
    BatchState m_batchState = BatchState::None;
    TimePoint m_doubtSince;
    TimePoint m_appendedAt;                 ///< when the last append was answered
    std::optional<TimePoint> m_readThrough; ///< start of the last read that came to the end
    std::vector<ClaimDecision> m_decisions;
};

} // namespace vanilladyke
