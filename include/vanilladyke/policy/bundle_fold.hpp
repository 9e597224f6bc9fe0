#pragma once

#include "vanilladyke/model/bundle_record.hpp"
#include "vanilladyke/model/log_page.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Which bundle is accepted: a pure fold over the records of the log.
///
/// A publication is accepted when enough trusted signatures hold, its parent is the accepted bundle
/// and its version is higher. So the first of several racing publications in log order wins, and
/// every reader of the same records finds the same winner without talking to another.
///
/// The log drops old records. A reader that missed some can't tell a winner from a loser by itself.
/// It relies on a checkpoint: a record that repeats the accepted bundle and says which records its
/// writer had read ("as of"). The reader takes it only if it has itself seen every record from that
/// point on, and goes on from there; so a checkpoint that was written late, by a node that had been
/// paused, can't bring back an older bundle.
namespace vanilladyke {

/// @brief Whose signatures count, and how many of them a bundle needs.
struct TrustedSigners
{
    std::set<VerifyKey> keys;
    std::size_t needed = 1;
};

/// @brief The bundle that is accepted.
struct AcceptedBundle
{
    SignedBundle bundle;
    HistoryEntry entry;
};

/// @brief What became of a record.
enum class FoldVerdict {
    Accepted,
    LostRace, ///< its parent is not the accepted bundle any more
    Refused,  ///< garbage, too few signatures, or a version that does not rise
    Waiting,  ///< can't be judged before a checkpoint is seen
    Checkpoint,
};

[[nodiscard]] std::string_view toString(FoldVerdict verdict);

/// @brief A verdict on one record, for the log and for the publisher.
struct FoldNote
{
    LogOffset offset = 0;
    std::string nonce;
    FoldVerdict verdict = FoldVerdict::Refused;
    std::string reason;                ///< why it was not accepted
    std::uint64_t version = 0;         ///< the record's own; 0 if it has none
    std::uint64_t acceptedVersion = 0; ///< in force after this record
};

/// @brief The trusted signers, each once, whose signatures of the bundle hold.
[[nodiscard]] std::vector<VerifyKey> validSigners(const SignedBundle &bundle,
                                                  const TrustedSigners &trusted);

/// @brief The parent of a bundle that starts the account anew, after every node was away for longer
/// than the log keeps records. Only a node that knows no accepted bundle takes it.
inline constexpr std::string_view RestartParent = "restart";

/// @brief Entries that a checkpoint and the fold keep; older ones are only in the log.
inline constexpr std::size_t MostHistory = 512;

/// @brief One reader's state.
class BundleFold
{
public:
    explicit BundleFold(TrustedSigners trusted);

    /// @brief Takes a page that was read from next(). @return a note for each new record
    [[nodiscard]] std::vector<FoldNote> apply(const LogPage &page);

    /// @brief The accepted bundle; none before the first.
    [[nodiscard]] const std::optional<AcceptedBundle> &accepted() const { return m_accepted; }
    /// @brief Accepted bundles, oldest first.
    [[nodiscard]] const std::vector<HistoryEntry> &history() const { return m_history; }
    /// @brief Where to read on.
    [[nodiscard]] LogOffset next() const { return m_next; }
    /// @brief Whether the fold knows every record that matters; if not, it waits for a checkpoint.
    [[nodiscard]] bool unbroken() const { return m_unbroken; }
    /// @brief Whether the log's end, as the last page told it, has been reached.
    [[nodiscard]] bool caughtUp() const { return m_caughtUp; }

    /// @brief The checkpoint to append now; none if an earlier one will do.
    /// @param wallNow this host's clock @param retention how long the log keeps a record
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

    [[nodiscard]] FoldNote take(const LogRecord &record);
    [[nodiscard]] FoldNote takePublication(Publication publication);
    [[nodiscard]] FoldNote takeCheckpoint(const BundleRecord &record, Publication repeated);
    [[nodiscard]] FoldNote judge(const Publication &publication);
    void adopt(const CheckpointPart &checkpoint, const Publication &repeated);
    void replay(LogOffset from);
    void settleOnRestart();
    [[nodiscard]] bool tellsTheTruth(const CheckpointPart &checkpoint) const;
    void accept(const Publication &publication);
    void noteGap(LogOffset firstOffset);

    TrustedSigners m_trusted;
    std::optional<AcceptedBundle> m_accepted;
    std::vector<HistoryEntry> m_history;
    LogOffset m_next = 0;
    LogOffset m_viewStart = 0; ///< every record from here to m_next has been seen
    LogOffset m_firstKept = 0; ///< the log's oldest record, as last told
    bool m_unbroken = true;
    bool m_caughtUp = false;
    std::vector<Publication> m_waiting; ///< seen while broken, in log order

    /// The newest point that a reader starting now could go on from.
    LogOffset m_baseAsOf = 0;
    std::optional<WallTime> m_baseAt;
};

} // namespace vanilladyke
