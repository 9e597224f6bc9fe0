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

/// A node's claims for calls that must not be repeated: appends claims of keys to the log, decides
/// which calls may be sent, and records their outcomes. Performs no I/O and reads no clock: time
/// and the log's answers are passed in.
namespace vanilladyke {

/// @brief Readings of the monotonic and the wall clock, taken together.
struct ClockReading
{
    TimePoint now;
    WallTime wall;
};

/// @brief Identifies a waiting call within this node.
enum class ClaimTicket : std::uint64_t {};

/// @brief A call to be sent at most once.
struct ClaimRequest
{
    ClaimTicket ticket{};
    ClaimKey key;
    RequestDigest request;
    TimePoint deadline;
    bool repeat = false; ///< the caller indicates that it may have sent the key before
};

/// @brief What a refusal states about a call that this node did not send.
///
/// An earlier attempt may be in progress at another node and may still be sent, so a repeated key
/// yields "unknown": on "not run" the caller would repeat the call under a new key and could run it
/// twice. Repeating the same key is safe.
[[nodiscard]] Ran ranOfUnsent(const ClaimRequest &request);

/// @brief The call may be sent, once, if its deadline has not passed. settle() must follow.
struct SendPermit
{
    ClaimNonce nonce;
};

/// @brief Permission to send, the answer of an earlier call with the key, or a refusal.
using ClaimVerdict = std::variant<SendPermit, ClaimOutcome, Refusal>;

/// @brief The verdict on a waiting call.
struct ClaimDecision
{
    ClaimTicket ticket{};
    ClaimVerdict verdict;
};

/// @brief Result of an append after its call to the log has ended.
enum class AppendResult {
    Done,
    NotDone, ///< certainly not written
    InDoubt, ///< may have been written, or may still be
};

/// @brief The records at one offset of the log.
struct ClaimLogRecord
{
    std::uint64_t offset = 0;
    WallTime appendedAt; ///< by the log's clock
    ClaimBatch batch;
};

/// @brief Result of a read of the log.
struct ClaimPage
{
    TimePoint askedAt;             ///< when the read began
    std::uint64_t firstOffset = 0; ///< the oldest offset that the log retains
    std::uint64_t nextOffset = 0;  ///< the offset of the next append
    std::vector<ClaimLogRecord> records;
};

/// @brief How long a call waits for its claim to be written to the log. Shorter than most callers'
/// deadlines, so that callers can react to an outage of the log in time.
inline constexpr Duration ClaimTimeout = std::chrono::seconds(2);
inline constexpr std::size_t MostRecordsPerAppend = 512;
inline constexpr std::size_t MostBytesPerAppend = 256U << 10U;

/// @brief The claims of one node.
class ClaimLedger
{
public:
    ClaimLedger(ProcessId process, NodeId node);

    /// @brief Sets the bundle's claim window and the number of nodes that share the append budget.
    void configure(Duration window, std::uint32_t liveNodes);

    /// @brief Adds a call; its verdict is returned by takeDecisions().
    void submit(const ClaimRequest &request, ClockReading at);
    /// @brief Removes a waiting call, of which nothing was sent: the caller has disconnected or the
    /// node has stopped waiting.
    void abandon(ClaimTicket ticket);
    /// @brief Records the outcome of a permitted call or, as a ClaimRelease, that nothing was sent.
    void settle(const ClaimRecord &record);

    /// @brief Returns the batch to append now; at most one append is in progress at a time.
    [[nodiscard]] std::optional<ClaimBatch> nextBatch(ClockReading at);
    /// @brief When queued records may be appended; none if none are queued, the log has not been
    /// read yet or an append is in progress.
    [[nodiscard]] std::optional<TimePoint> nextAppendAt() const;
    /// @brief Records the result of the append.
    /// @param offset where the batch was written, if Done
    void appended(AppendResult result, std::uint64_t offset, ClockReading at);
    /// @brief Applies the result of a read.
    void read(const ClaimPage &page, ClockReading at);
    /// @brief Checks deadlines and drops old keys.
    void tick(ClockReading at);

    /// @brief Returns the verdicts since the last call.
    [[nodiscard]] std::vector<ClaimDecision> takeDecisions();

    /// @brief Whether the log has been read up to its end at least once.
    [[nodiscard]] bool ready() const { return m_readThrough.has_value(); }
    /// @brief Whether all outcomes are in the log and no permitted call is unsettled.
    [[nodiscard]] bool idle() const;
    /// @brief Whether a read is needed now: initial read, append in doubt, or calls waiting.
    [[nodiscard]] bool needsRead() const;
    [[nodiscard]] std::uint64_t nextOffset() const { return m_fold.next(); }
    [[nodiscard]] const ClaimFold &fold() const { return m_fold; }

private:
    struct Waiting
    {
        ClaimRequest request;
        ClaimNonce nonce;
        TimePoint submittedAt;
        TimePoint claimBy;
        bool isRead = false; ///< its claim has been read from the log
    };
    enum class BatchState { None, InProgress, InDoubt };
    using Step = std::optional<ClaimVerdict>;

    void enqueueClaim(Waiting &waiting);
    void apply(const ClaimLogRecord &record);
    void applyOwn(const ClaimRecord &record);
    void releaseIfUnused(const ClaimKey &key);
    void requeueUnread();
    void decide(ClockReading at);
    [[nodiscard]] Step verdictOn(Waiting &waiting, ClockReading at);
    [[nodiscard]] Step onOwnClaim(const Waiting &waiting, ClockReading at);
    [[nodiscard]] Step onOthersClaim(const Waiting &waiting, ClockReading at) const;
    [[nodiscard]] Step onFreeKey(Waiting &waiting, ClockReading at, bool isExhausted);

    ProcessId m_process;
    NodeId m_node;
    Duration m_window{};
    std::uint64_t m_sequence = 0;
    ClaimFold m_fold;
    AppendPacer m_pacer;
    std::map<ClaimTicket, Waiting> m_waiting;
    std::set<ClaimNonce> m_permitted;                    ///< permitted and not yet settled
    std::map<ClaimNonce, ClaimOutcome> m_unreadOutcomes; ///< settled here, not yet in the log
    std::deque<ClaimRecord> m_queue;
    ClaimBatch m_batch;  ///< the append in progress, complete
    ClaimBatch m_unread; ///< records of it not yet read from the log
    BatchState m_batchState = BatchState::None;
    TimePoint m_inDoubtSince;
    TimePoint m_appendedAt;                 ///< when the last append was confirmed
    std::optional<TimePoint> m_readThrough; ///< start of the last read that reached the end
    std::vector<ClaimDecision> m_decisions;
};

} // namespace vanilladyke
