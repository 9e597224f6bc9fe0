#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/policy/claim_record.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// The meaning of the stream "claims": a pure fold over its records, the same at every node.
///
/// The first claim of a key in log order alone may send, whoever pauses or dies; nobody takes over.
/// Only the owner itself can free the key again, by a release, and a release is a promise that
/// nothing was sent under the claim. So there is at most one sender, whatever is repeated, lost or
/// delayed.
namespace vanilladyke {

/// @brief How far a key has come.
enum class ClaimStage {
    Claimed,  ///< the owner may send, or has sent
    Released, ///< the owner sent nothing and never will
    Settled,  ///< the owner sent, and told what came of it
};

/// @brief One key.
struct ClaimEntry
{
    ClaimStage stage = ClaimStage::Claimed;
    ClaimNonce owner;
    NodeId node;
    RequestDigest request; ///< of the first claim; it binds all later ones
    std::vector<ClaimNonce> released;
    std::optional<ClaimOutcome> outcome;

    bool operator==(const ClaimEntry &) const = default;
};

/// @brief Releases after which a key can't be claimed again, so that one key's entry stays small.
inline constexpr std::size_t MostReleases = 8;

/// @brief How far the clocks of callers, nodes and the log may be apart.
///
/// Hosts keep time by NTP to milliseconds; seconds leave room for a host whose daemon has stopped.
inline constexpr Duration ClockSkew = std::chrono::seconds(5);

/// @brief All keys of the claim window.
class ClaimFold
{
public:
    /// @brief Takes the records of one offset; offsets come in order, each once.
    void apply(std::uint64_t offset, const ClaimBatch &batch);
    /// @brief The entry of a key; null if no claim of it is known.
    [[nodiscard]] const ClaimEntry *find(const ClaimKey &key) const;

    /// @brief The offset that is applied next.
    [[nodiscard]] std::uint64_t next() const { return m_next; }
    /// @brief Goes on at a later offset, because the records before it are not to be had.
    /// @param keysFrom claims of keys made before this may be among the missing ones
    void skipTo(std::uint64_t offset, WallTime keysFrom);

    /// @brief Drops the keys made before a time; from then on they are not covered.
    void forgetBefore(WallTime keyTime);
    /// @brief Whether every claim of the key up to next() is known: if not, it must be refused,
    /// since an earlier claim may have been missed or forgotten.
    [[nodiscard]] bool covers(const UuidV7 &key) const { return key.time() >= m_keysFrom; }

    [[nodiscard]] std::size_t size() const { return m_entries.size(); }
    [[nodiscard]] std::size_t answerBytes() const { return m_answerBytes; }

private:
    void take(const Claim &claim);
    void take(const ClaimRelease &release);
    void take(const ClaimOutcome &outcome);
    ClaimEntry *ownedBy(const ClaimKey &key, const ClaimNonce &nonce);
    void dropOldAnswers();

    std::uint64_t m_next = 0;
    WallTime m_keysFrom = WallTime::min();
    std::unordered_map<ClaimKey, ClaimEntry> m_entries;
    std::multimap<WallTime, ClaimKey> m_byAge; ///< by the keys' own times
    std::multimap<WallTime, ClaimKey> m_withAnswer;
    std::size_t m_answerBytes = 0;
};

/// @brief Answers kept over all keys; beyond this the answers of the oldest keys are dropped, and
/// their repeats hear that the call ran but its answer is gone.
inline constexpr std::size_t MostAnswerBytesKept = 32U << 20U;

/// @brief What the age of a key says.
enum class KeyAge { Valid, Expired, Ahead };

/// @brief Judges a key by its own time.
/// @param window age after which a key is refused
[[nodiscard]] KeyAge judgeAge(const UuidV7 &key, WallTime now, Duration window);

/// @brief The time before which keys may be forgotten: no node accepts them any more, even one
/// whose clock is slow.
[[nodiscard]] WallTime forgettableBefore(WallTime now, Duration window);

/// @brief For a reader that starts at a record appended at @p appendedAt: claims of keys made
/// later than the result can't stand before that record, since keys from the future are refused.
[[nodiscard]] WallTime coveredFrom(WallTime appendedAt);

} // namespace vanilladyke
