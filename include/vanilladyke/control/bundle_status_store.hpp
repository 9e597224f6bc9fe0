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

/// @brief State of bundles and of the bundle log on this node at one point in time.
struct BundleStatus
{
    std::shared_ptr<const AcceptedBundle> accepted; ///< null until a bundle has been accepted
    std::vector<HistoryEntry> history;
    bool logReachable = false;
    bool logComplete = true; ///< false while records are missing and no checkpoint replaces them
    std::string logError;    ///< why the log can't be read or no bundle is accepted from it
};

/// @brief Shares the bundle status between the control thread, which writes it, and the threads
/// that serve operators. A publisher waits here for the verdict on its record. Thread-safe.
class BundleStatusStore
{
public:
    [[nodiscard]] BundleStatus status() const;
    /// @brief Waits for the verdict on a record, found by its nonce, or by its digest if it is the
    /// active bundle.
    /// @return none if there is no verdict by the deadline
    [[nodiscard]] std::optional<FoldNote>
    verdict(const std::string &nonce, const std::string &digest, TimePoint deadline) const;

    /// @brief Replaces the status and wakes waiting publishers.
    void setStatus(BundleStatus status);
    /// @brief Adds a verdict and wakes waiting publishers.
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
