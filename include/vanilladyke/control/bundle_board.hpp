#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/policy/bundle_fold.hpp"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace vanilladyke {

/// @brief What this node knows of bundles at one moment.
struct BundleStatus
{
    std::shared_ptr<const AcceptedBundle> accepted; ///< null until one is known
    std::vector<HistoryEntry> history;
    bool logReachable = false;
    bool logUnbroken = true; ///< false while a checkpoint is missing
    std::string logTrouble;  ///< why the log can't be read, or why no bundle is taken from it
};

/// @brief Where the control thread shows operators' threads the state of bundles, and where a
/// publisher waits for the verdict on its record.
class BundleBoard
{
public:
    [[nodiscard]] BundleStatus status() const;
    /// @brief Waits for the verdict on a record, by its nonce or as the bundle in force.
    /// @return none if it is not known by the deadline
    [[nodiscard]] std::optional<FoldNote>
    verdict(const std::string &nonce, const std::string &digest, TimePoint deadline) const;

    void show(BundleStatus status);
    void addNote(FoldNote note);

private:
    [[nodiscard]] std::optional<FoldNote> findVerdict(const std::string &nonce,
                                                      const std::string &digest) const;

    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    BundleStatus m_status;
    std::deque<FoldNote> m_notes;
};

} // namespace vanilladyke
