#include "vanilladyke/control/bundle_log.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/policy/back_off.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Reads are long polls: the log delays its answer until there is a record, for most of this time.
/// A dead connection is detected when it has passed.
constexpr Duration ReadTimeout = std::chrono::seconds(2);
/// Shorter for the first read: an empty log delays its answer, and until then the status shown to
/// operators would say that the log has not been read yet.
constexpr Duration FirstReadTimeout = std::chrono::milliseconds(200);
constexpr Duration AppendTimeout = std::chrono::seconds(3);

} // namespace

BundleLogTail::BundleLogTail(const Endpoint &log, Inbox &inbox)
    : m_client(log, BundleStream)
    , m_inbox(inbox)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{}

void BundleLogTail::run(const std::stop_token &stop)
{
    Random random(entropySeed());
    BackOff backOff;
    LogOffset from = 0;
    // A long poll lasts for seconds; cancelling it keeps the shutdown of the node from waiting.
    const std::stop_callback cancelRead(stop, [this] { m_client.cancel(); });
    std::mutex mutex;
    std::condition_variable_any wake;
    Duration readTimeout = FirstReadTimeout;
    while (!stop.stop_requested()) {
        auto page = m_client.read(from, MonotonicClock::now() + readTimeout);
        readTimeout = ReadTimeout;
        if (page) {
            from = std::max(from, page->firstOffset);
            if (!page->records.empty()) {
                from = page->records.back().offset + 1;
            }
            backOff.succeeded();
            m_inbox.post(BundleLogRead{std::make_shared<const LogPage>(std::move(*page))});
            continue;
        }
        if (stop.stop_requested()) {
            return;
        }
        if (!backOff.down()) {
            LogEvent("log_down", Severity::Warning)
                    .field("stream", BundleStream)
                    .field("error", toString(page.error().error))
                    .field("reason", page.error().detail);
        }
        backOff.failed(MonotonicClock::now(), random);
        m_inbox.post(BundleLogDown{"the log can't be read: " + page.error().detail});
        std::unique_lock lock(mutex);
        wake.wait_until(lock, stop, backOff.retryAt(), [] { return false; });
    }
}

CheckpointAppender::CheckpointAppender(const Endpoint &log)
    : m_client(log, BundleStream)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{}

void CheckpointAppender::append(std::string record)
{
    {
        const std::lock_guard lock(m_mutex);
        m_record = std::move(record);
    }
    m_filled.notify_one();
}

void CheckpointAppender::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        std::unique_lock lock(m_mutex);
        if (!m_filled.wait(lock, stop, [this] { return m_record.has_value(); })) {
            return;
        }
        const std::string record = std::move(*m_record);
        m_record.reset();
        lock.unlock();
        const auto offset = m_client.append(record, MonotonicClock::now() + AppendTimeout);
        if (!offset) {
            LogEvent("checkpoint_failed", Severity::Warning)
                    .field("error", toString(offset.error().error))
                    .field("reason", offset.error().detail);
        }
    }
}

} // namespace vanilladyke
