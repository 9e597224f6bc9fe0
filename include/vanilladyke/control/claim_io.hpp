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

/// The threads that talk to the log's stream "claims". They block; the control thread never does.
namespace vanilladyke {

/// @brief What the control thread tells the threads of the log.
struct ClaimProgress
{
    std::uint64_t nextOffset = 0; ///< the first offset that the ledger has not seen
    bool wantsRead = false;       ///< a claim waits for what stands in the log
    bool idle = true;             ///< nothing is left to append, and nobody sends
};

/// @brief Turns a page of the log into claims. A record that is malformed counts as an empty one.
[[nodiscard]] ClaimPage decodePage(const LogPage &page, TimePoint askedAt);

/// @brief How an append to the log ended.
[[nodiscard]] ClaimsAppended resultOf(const Outcome<LogOffset, LogFailure> &answer);

/// @brief Where to begin so that a whole claim window is read, found by bisection.
/// @return none if the log can't be read now
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

/// @brief The mailbox between the control thread and the threads of the log.
class ClaimIo
{
public:
    /// @brief Gives a batch to the appending thread. Control thread only.
    void append(ClaimBatch batch);
    /// @brief Has the appending thread post a tick then: a claim that waits for the node's share of
    /// appends would else wait for the control thread's next tick. Control thread only.
    void wakeAt(TimePoint when);
    /// @brief Lets the reading thread begin; later calls change nothing.
    void readBack(Duration window);
    /// @brief The last page has been taken in, and the next may be read.
    void pageTaken();
    void tell(const ClaimProgress &progress);

    /// @brief The next batch to append; an empty one when the control thread is to be woken, none
    /// once the thread is to stop.
    [[nodiscard]] std::optional<ClaimBatch> nextBatch(const std::stop_token &stop);
    [[nodiscard]] std::optional<Duration> awaitWindow(const std::stop_token &stop);
    void awaitPageTaken(const std::stop_token &stop);
    void pause(const std::stop_token &stop, TimePoint until);
    [[nodiscard]] ClaimProgress progress() const;

    /// @brief Waits until all outcomes are in the log, for a planned stop. @return whether they are
    [[nodiscard]] bool flush(TimePoint deadline);

private:
    mutable std::mutex m_mutex;
    std::condition_variable_any m_changed;
    std::optional<ClaimBatch> m_batch;
    std::optional<TimePoint> m_wakeAt;
    std::optional<Duration> m_window;
    bool m_pageTaken = false;
    ClaimProgress m_progress;
};

/// @brief Runs one appending and one reading thread until it is destroyed.
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
    /// An append that takes longer counts as lost; a healthy log answers within milliseconds.
    static constexpr Duration AppendWithin = std::chrono::milliseconds(1000);
    static constexpr Duration ReadWithin = std::chrono::milliseconds(1000);
    /// While a claim waits, a connection that has gone silent must be noticed soon.
    static constexpr Duration UrgentReadWithin = std::chrono::milliseconds(400);
    static constexpr Duration PauseAfterFailure = std::chrono::milliseconds(100);

    void runAppends(const std::stop_token &stop)
    {
        while (const auto batch = m_io.nextBatch(stop)) {
            if (batch->empty()) {
                m_inbox.post(Tick{});
                continue;
            }
            const TimePoint started = MonotonicClock::now();
            const auto answer = m_appends.append(encodeClaims(*batch), started + AppendWithin);
            m_metrics.count("claim_appends_total");
            m_metrics.count("claim_records_total", batch->size());
            m_metrics.observe("claim_append_seconds", MonotonicClock::now() - started);
            m_inbox.post(ClaimEvent(resultOf(answer)));
        }
    }

    void runReads(const std::stop_token &stop)
    {
        LogOffset from = readBackFrom(stop);
        while (!stop.stop_requested()) {
            const ClaimProgress progress = m_io.progress();
            from = std::max(from, progress.nextOffset);
            const TimePoint askedAt = MonotonicClock::now();
            const auto page = m_reads.read(
                    from, askedAt + (progress.wantsRead ? UrgentReadWithin : ReadWithin));
            if (!page) {
                m_metrics.count("claim_read_failures_total");
                m_io.pause(stop, MonotonicClock::now() + PauseAfterFailure);
                continue;
            }
            const bool wentBack = page->nextOffset < from;
            from = wentBack                ? page->firstOffset
                   : page->records.empty() ? from
                                           : page->records.back().offset + 1;
            m_inbox.post(ClaimEvent(ClaimsRead{decodePage(*page, askedAt)}));
            m_io.awaitPageTaken(stop);
        }
    }

    /// Everything older than a window concerns keys that are refused by their age.
    LogOffset readBackFrom(const std::stop_token &stop)
    {
        const auto window = m_io.awaitWindow(stop);
        while (window && !stop.stop_requested()) {
            const WallTime notBefore =
                    droppableBefore(std::chrono::system_clock::now(), *window) - 2 * ClockSkew;
            const auto start = findStart(m_reads, notBefore, MonotonicClock::now() + ReadWithin);
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
