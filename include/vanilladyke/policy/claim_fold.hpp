#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/policy/claim_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// State of the stream "claims": a pure fold over its records, with the same result at every node.
///
/// Only the first claim of a key in log order permits sending, and no other node takes over if its
/// owner pauses or fails. Only the owner can free the key, by a release, which guarantees that
/// nothing was sent under the claim. So there is at most one sender, whichever records are
/// repeated, lost or delayed.
namespace vanilladyke {

/// @brief Stage of a key.
enum class ClaimStage {
    Claimed,  ///< the owner may send, or has sent
    Released, ///< the owner sent nothing and never will send
    Settled,  ///< the owner sent and recorded the outcome
};

/// @brief State of one key.
struct ClaimEntry
{
    ClaimStage stage = ClaimStage::Claimed;
    ClaimNonce owner;
    NodeId node;
    RequestDigest request; ///< of the first claim; later claims must have the same
    std::vector<ClaimNonce> released;
    std::optional<ClaimOutcome> outcome;

    bool operator==(const ClaimEntry &) const = default;
};

/// @brief Releases after which a key cannot be claimed again; bounds the size of its entry.
inline constexpr std::size_t MostReleases = 8;

/// @brief Maximum difference between the clocks of callers, nodes and the log.
///
/// Hosts are synchronized by NTP to milliseconds; 5 s allows for a host whose NTP daemon has
/// stopped.
inline constexpr Duration ClockSkew = std::chrono::seconds(5);

/// @brief The keys of the claim window.
class ClaimFold
{
public:
    /// @brief Applies the records of one offset; offsets must be passed in order, each once.
    void apply(std::uint64_t offset, const ClaimBatch &batch);
    /// @brief Returns the entry of a key; null if no claim of it has been applied.
    [[nodiscard]] const ClaimEntry *find(const ClaimKey &key) const;

    /// @brief The offset to apply next.
    [[nodiscard]] std::uint64_t next() const { return m_next; }
    /// @brief Continues at a later offset because the records before it are not available.
    /// @param keysFrom claims of keys created before this may be among the missing records
    void skipTo(std::uint64_t offset, WallTime keysFrom);

    /// @brief Drops the keys created before a time; they are no longer covered.
    void dropBefore(WallTime keyTime);
    /// @brief Whether all claims of the key before next() have been applied and retained. If not,
    /// the key must be refused, since an earlier claim may have been missed or dropped.
    [[nodiscard]] bool covers(const UuidV7 &key) const { return key.time() >= m_keysFrom; }

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    [[nodiscard]] std::size_t answerBytes() const { return m_answerBytes; }

private:
    void applyRecord(const Claim &claim);
    void applyRecord(const ClaimRelease &release);
    void applyRecord(const ClaimOutcome &outcome);
    ClaimEntry *ownedBy(const ClaimKey &key, const ClaimNonce &nonce);
    void dropOldAnswers();

    std::uint64_t m_next = 0;
    WallTime m_keysFrom = WallTime::min();
    std::unordered_map<ClaimKey, ClaimEntry> m_entries;
    std::multimap<WallTime, ClaimKey> m_byAge; ///< by the keys' timestamps
    std::multimap<WallTime, ClaimKey> m_withAnswer;
    std::size_t m_answerBytes = 0;
};

/// @brief Maximum size of the kept answers of all keys; beyond it, the answers of the oldest keys
/// are dropped and their repeats are refused as run, with the answer no longer available.
inline constexpr std::size_t MostAnswerBytesKept = 32U << 20U;

/// @brief Result of the check of a key's age.
enum class KeyAge { Valid, Expired, InFuture };

/// @brief Checks a key's timestamp.
/// @param window age after which a key is refused
[[nodiscard]] KeyAge checkAge(const UuidV7 &key, WallTime now, Duration window);

/// @brief The time before which keys can be dropped: no node accepts them any more, even if its
/// clock is slow.
[[nodiscard]] WallTime droppableBefore(WallTime now, Duration window);

/// @brief The time from which on keys are covered for a reader that starts at a record appended at
/// @p appendedAt. Claims of later keys cannot precede that record, since keys dated in the future
/// are refused.
[[nodiscard]] WallTime coveredFrom(WallTime appendedAt);

} // namespace vanilladyke
