#include "vanilladyke/control/claim_io.hpp"

namespace vanilladyke {

ClaimPage decodePage(const LogPage &page, TimePoint requestedAt)
{
    ClaimPage claims{requestedAt, page.firstOffset, page.nextOffset, {}};
    for (const LogRecord &record : page.records) {
        auto batch = decodeClaims(record.data);
        if (!batch) {
            LogEvent("claim_record_refused", Severity::Warning)
                    .field("offset", record.offset)
                    .field("reason", batch.error());
        }
        claims.records.push_back(
                {record.offset, record.appendedAt, batch ? std::move(*batch) : ClaimBatch()});
    }
    return claims;
}

ClaimsAppended resultOf(const Outcome<LogOffset, LogFailure> &answer)
{
    if (answer) {
        return {AppendResult::Done, *answer};
    }
    LogEvent("claim_append_failed", Severity::Warning)
            .field("error", toString(answer.error().error))
            .field("detail", answer.error().detail);
    const LogError error = answer.error().error;
    const bool notDone = error == LogError::NotSent || error == LogError::Refused;
    return {notDone ? AppendResult::NotDone : AppendResult::InDoubt, 0};
}

void ClaimIo::append(ClaimBatch batch)
{
    {
        const std::lock_guard lock(m_mutex);
        m_batch = std::move(batch);
    }
    m_changed.notify_all();
}

void ClaimIo::wakeAt(TimePoint when)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_wakeAt) {
            return;
        }
        m_wakeAt = when;
    }
    m_changed.notify_all();
}

void ClaimIo::startReading(Duration window)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_window) {
            return;
        }
        m_window = window;
    }
    m_changed.notify_all();
}

void ClaimIo::pageProcessed()
{
    {
        const std::lock_guard lock(m_mutex);
        m_pageProcessed = true;
    }
    m_changed.notify_all();
}

void ClaimIo::setProgress(const ClaimProgress &progress)
{
    bool becameIdle = false;
    {
        const std::lock_guard lock(m_mutex);
        becameIdle = progress.idle && !m_progress.idle;
        m_progress = progress;
    }
    if (becameIdle) {
        m_changed.notify_all();
    }
}

std::optional<ClaimBatch> ClaimIo::nextBatch(const std::stop_token &stop)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, stop, [this] { return m_batch || m_wakeAt; });
    if (!m_batch && m_wakeAt) {
        m_changed.wait_until(lock, stop, *m_wakeAt, [this] { return m_batch.has_value(); });
    }
    if (stop.stop_requested()) {
        return std::nullopt;
    }
    m_wakeAt.reset();
    return m_batch ? std::exchange(m_batch, std::nullopt) : ClaimBatch();
}

std::optional<Duration> ClaimIo::awaitWindow(const std::stop_token &stop)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, stop, [this] { return m_window.has_value(); });
    return m_window;
}

void ClaimIo::awaitPageProcessed(const std::stop_token &stop)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, stop, [this] { return m_pageProcessed; });
    m_pageProcessed = false;
}

void ClaimIo::pause(const std::stop_token &stop, TimePoint until)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_until(lock, stop, until, [] { return false; });
}

ClaimProgress ClaimIo::progress() const
{
    const std::lock_guard lock(m_mutex);
    return m_progress;
}

bool ClaimIo::flush(TimePoint deadline)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_until(lock, deadline, [this] { return m_progress.idle; });
}

} // namespace vanilladyke
