#pragma once

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/control/claim_codec.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/platform/log_client.hpp"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

/// Threads that make the blocking calls to the log's stream "claims" for the control thread.
namespace vanilladyke {

/// @brief State of the ledger that the control thread publishes to the log threads.
struct ClaimProgress
{
    std::uint64_t nextOffset = 0; ///< first offset that the ledger has not read
    bool needsRead = false;       ///< a claim waits for a page of the log
    bool idle = true;             ///< nothing is left to append and no call is being sent
};

/// @brief Decodes a page of the log. A malformed record is logged and becomes an empty batch.
[[nodiscard]] ClaimPage decodePage(const LogPage &page, TimePoint requestedAt);

/// @brief Converts the answer to an append into an event; logs a failure.
[[nodiscard]] ClaimsAppended resultOf(const Outcome<LogOffset, LogFailure> &answer);

/// @brief Offset to start reading at so that all records since @p notBefore are read, found by
/// bisection over the append times.
/// @return none if a read of the log failed
template <LogStream Log>
[[nodiscard]] std::optional<LogOffset> findStart(Log &log, WallTime notBefore, TimePoint deadline)
{
    auto page = log.read(0, deadline);
    if (!page) {
        return std::nullopt;
    }
    LogOffset low = page->firstOffset;
    LogOffset high = page->nextOffset;
    while (low + 1 < high && !page->records.empty()) {
        const LogOffset middle = low + (high - low) / 2;
        page = log.read(middle, deadline);
        if (!page) {
            return std::nullopt;
        }
        const bool old = !page->records.empty() && page->records.front().appendedAt < notBefore;
        (old ? low : high) = middle;
    }
    return low;
}

/// @brief Mailbox between the control thread and the log threads. Thread-safe.
class ClaimIo
{
public:
    /// @brief Passes a batch to the append thread. Control thread only.
    void append(ClaimBatch batch);
    /// @brief Makes the append thread post a tick at that time. Without it, a claim that waits for
    /// the node's append quota would wait for the next regular tick. Control thread only.
    void wakeAt(TimePoint when);
    /// @brief Starts the read thread, which first reads this window back; later calls have no
    /// effect.
    void startReading(Duration window);
    /// @brief Reports that the last page was processed, so that the next may be read.
    void pageProcessed();
    /// @brief Publishes the state of the ledger to the log threads.
    void setProgress(const ClaimProgress &progress);

    /// @brief Waits for the next batch to append. An empty batch means that the control thread has
    /// to be woken; none means stop.
    [[nodiscard]] std::optional<ClaimBatch> nextBatch(const std::stop_token &stop);
    [[nodiscard]] std::optional<Duration> awaitWindow(const std::stop_token &stop);
    void awaitPageProcessed(const std::stop_token &stop);
    void pause(const std::stop_token &stop, TimePoint until);
    [[nodiscard]] ClaimProgress progress() const;

    /// @brief Waits until all outcomes are in the log, for a planned shutdown.
    /// @return whether they are by the deadline
    [[nodiscard]] bool flush(TimePoint deadline);

private:
    mutable std::mutex m_mutex;
    std::condition_variable_any m_changed;
    std::optional<ClaimBatch> m_batch;
    std::optional<TimePoint> m_wakeAt;
    std::optional<Duration> m_window;
    bool m_pageProcessed = false;
    ClaimProgress m_progress;
};

/// @brief Runs one append thread and one read thread until it is destroyed.
template <LogStream Log>
class ClaimLog
{
public:
    ClaimLog(Log appends, Log reads, ClaimIo &io, Inbox &inbox, Metrics &metrics)
        : m_appends(std::move(appends))
        , m_reads(std::move(reads))
        , m_io(io)
        , m_inbox(inbox)
        , m_metrics(metrics)
    {
        m_appender = std::jthread([this](const std::stop_token &stop) { runAppends(stop); });
        m_reader = std::jthread([this](const std::stop_token &stop) { runReads(stop); });
    }

private:
    /// A slower append counts as unresolved; a healthy log answers within milliseconds.
    static constexpr Duration AppendTimeout = std::chrono::milliseconds(1000);
    static constexpr Duration ReadTimeout = std::chrono::milliseconds(1000);
    /// Shorter while a claim waits, so that a dead connection is detected early.
    static constexpr Duration UrgentReadTimeout = std::chrono::milliseconds(400);
    static constexpr Duration PauseAfterFailure = std::chrono::milliseconds(100);

    void runAppends(const std::stop_token &stop)
    {
        while (const auto batch = m_io.nextBatch(stop)) {
            if (batch->empty()) {
                m_inbox.post(Tick{});
                continue;
            }
            const TimePoint started = MonotonicClock::now();
            const auto answer = m_appends.append(encodeClaims(*batch), started + AppendTimeout);
            m_metrics.count("claim_appends_total");
            m_metrics.count("claim_records_total", batch->size());
            m_metrics.observe("claim_append_seconds", MonotonicClock::now() - started);
            m_inbox.post(ClaimEvent(resultOf(answer)));
        }
    }

    void runReads(const std::stop_token &stop)
    {
        LogOffset from = awaitStartOffset(stop);
        while (!stop.stop_requested()) {
            const ClaimProgress progress = m_io.progress();
            from = std::max(from, progress.nextOffset);
            const TimePoint requestedAt = MonotonicClock::now();
            const auto page = m_reads.read(
                    from, requestedAt + (progress.needsRead ? UrgentReadTimeout : ReadTimeout));
            if (!page) {
                m_metrics.count("claim_read_failures_total");
                m_io.pause(stop, MonotonicClock::now() + PauseAfterFailure);
                continue;
            }
            const bool wasTruncated = page->nextOffset < from;
            from = wasTruncated            ? page->firstOffset
                   : page->records.empty() ? from
                                           : page->records.back().offset + 1;
            m_inbox.post(ClaimEvent(ClaimsRead{decodePage(*page, requestedAt)}));
            m_io.awaitPageProcessed(stop);
        }
    }

    /// Records older than one window need not be read: their keys are refused because of their age.
    LogOffset awaitStartOffset(const std::stop_token &stop)
    {
        const auto window = m_io.awaitWindow(stop);
        while (window && !stop.stop_requested()) {
            const WallTime notBefore =
                    droppableBefore(std::chrono::system_clock::now(), *window) - 2 * ClockSkew;
            const auto start = findStart(m_reads, notBefore, MonotonicClock::now() + ReadTimeout);
            if (start) {
                return *start;
            }
            m_io.pause(stop, MonotonicClock::now() + PauseAfterFailure);
        }
        return 0;
    }

    Log m_appends;
    Log m_reads;
    ClaimIo &m_io;
    Inbox &m_inbox;
    Metrics &m_metrics;
    std::jthread m_appender;
    std::jthread m_reader;
};

} // namespace vanilladyke
