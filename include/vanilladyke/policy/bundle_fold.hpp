#pragma once

#include "vanilladyke/model/bundle_record.hpp"
#include "vanilladyke/model/log_page.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Determines the accepted bundle by a pure fold over the records of the log.
///
/// A publication is accepted if enough trusted signatures are valid, its parent is the accepted
/// bundle and its version is higher. The first of several concurrent publications in log order is
/// therefore accepted, and all readers of the same records agree without communication.
///
/// The log drops old records. A reader that missed some can't decide which of several concurrent
/// publications was accepted. It relies on a checkpoint: a record that repeats the accepted bundle
/// and the offset up to which its writer had read (`asOf`). The reader uses it only if it has read
/// every record from that offset on itself, and continues from there. A checkpoint that was
/// appended late by a paused node can therefore not restore an older bundle.
namespace vanilladyke {

/// @brief The trusted signing keys, and the number of signatures that a bundle needs.
struct TrustedSigners
{
    std::set<VerifyKey> keys;
    std::size_t needed = 1;
};

/// @brief The accepted bundle with its entry in the history.
struct AcceptedBundle
{
    SignedBundle bundle;
    HistoryEntry entry;
};

/// @brief The outcome for a record.
enum class FoldVerdict {
    Accepted,
    LostRace, ///< its parent is no longer the accepted bundle
    Refused,  ///< malformed, too few valid signatures, or a version that does not increase
    Waiting,  ///< can't be decided before a checkpoint is read
    Checkpoint,
};

[[nodiscard]] std::string_view toString(FoldVerdict verdict);

/// @brief The verdict on one record, for log lines and for the publisher.
struct FoldNote
{
    LogOffset offset = 0;
    std::string nonce;
    FoldVerdict verdict = FoldVerdict::Refused;
    std::string reason;                ///< why it was not accepted
    std::uint64_t version = 0;         ///< of the record; 0 if it has none
    std::uint64_t acceptedVersion = 0; ///< in force after this record
};

/// @brief The trusted signers with a valid signature of the bundle, without duplicates.
[[nodiscard]] std::vector<VerifyKey> validSigners(const SignedBundle &bundle,
                                                  const TrustedSigners &trusted);

/// @brief The parent of a bundle that starts a new history, after all nodes were down for longer
/// than the log keeps records. Only a node without an accepted bundle accepts it.
inline constexpr std::string_view RestartParent = "restart";

/// @brief Number of history entries in the fold and in a checkpoint; older ones are only in the
/// log.
inline constexpr std::size_t MaxHistory = 512;

/// @brief The fold state of one reader of the log.
class BundleFold
{
public:
    explicit BundleFold(TrustedSigners trusted);

    /// @brief Applies a page that was read from next().
    /// @return one verdict per new record
    [[nodiscard]] std::vector<FoldNote> apply(const LogPage &page);

    /// @brief The accepted bundle; none before the first one.
    [[nodiscard]] const std::optional<AcceptedBundle> &accepted() const { return m_accepted; }
    /// @brief Accepted bundles, oldest first.
    [[nodiscard]] const std::vector<HistoryEntry> &history() const { return m_history; }
    /// @brief The offset of the next page to read.
    [[nodiscard]] LogOffset next() const { return m_next; }
    /// @brief Whether no relevant record was missed. If false, the fold waits for a checkpoint.
    [[nodiscard]] bool isComplete() const { return m_isComplete; }
    /// @brief Whether the end of the log, as given by the last page, has been reached.
    [[nodiscard]] bool caughtUp() const { return m_caughtUp; }

    /// @brief The checkpoint to append now; none if an earlier one is recent enough.
    /// @param wallNow this host's clock
    /// @param retention time for which the log keeps a record
    [[nodiscard]] std::optional<BundleRecord> checkpointDue(WallTime wallNow,
                                                            Duration retention) const;

private:
    struct Publication
    {
        LogOffset offset = 0;
        WallTime appendedAt;
        std::string nonce;
        SignedBundle bundle;
        BundleHeader header;
        std::string digest;
        std::vector<VerifyKey> signers;
    };

    [[nodiscard]] FoldNote applyRecord(const LogRecord &record);
    [[nodiscard]] FoldNote applyPublication(Publication publication);
    [[nodiscard]] FoldNote applyCheckpoint(const BundleRecord &record, Publication repeated);
    [[nodiscard]] FoldNote evaluate(const Publication &publication);
    void adopt(const CheckpointPart &checkpoint, const Publication &repeated);
    void replay(LogOffset from);
    void acceptRestart();
    [[nodiscard]] bool matchesHistory(const CheckpointPart &checkpoint) const;
    void accept(const Publication &publication);
    void recordGap(LogOffset firstOffset);

    TrustedSigners m_trusted;
    std::optional<AcceptedBundle> m_accepted;
    std::vector<HistoryEntry> m_history;
    LogOffset m_next = 0;
    LogOffset m_viewStart = 0; ///< every record from here to m_next has been read
    LogOffset m_firstKept = 0; ///< offset of the log's oldest record in the last page
    bool m_isComplete = true;
    bool m_caughtUp = false;
    std::vector<Publication> m_undecided; ///< read while waiting for a checkpoint, in log order

    /// The newest offset from which a new reader could continue, and when its checkpoint was
    /// written.
    LogOffset m_checkpointAsOf = 0;
    std::optional<WallTime> m_checkpointAt;
};

} // namespace vanilladyke
