#include "vanilladyke/node/software_recorder.hpp"

#include "node_load.pb.h"
#include "vanilladyke/base/log.hpp"
#include "vanilladyke/node/boot_clock.hpp"

namespace vanilladyke {

namespace {

/// A change is noticed this often; the record may be late, as the list shows the change, too.
constexpr Duration CheckInterval = std::chrono::milliseconds(250);
/// Until the servers are listed, after which the records are read.
constexpr Duration StartCheckInterval = std::chrono::milliseconds(20);
/// All nodes notice a change. Each place in the order of nodes waits so much longer.
constexpr Duration TurnInterval = std::chrono::seconds(1);
/// Places from which on nodes leave changes to others: more than fail together before the order of
/// nodes is a new one.
constexpr std::size_t Turns = 8;

std::string encode(const RecordedSoftware &recorded)
{
    wire::ServiceSoftware message;
    for (const std::uint64_t version : recorded.versions) {
        message.add_versions(version);
    }
    const auto callers = std::chrono::ceil<std::chrono::milliseconds>(recorded.callersTime);
    message.set_callers_ms(static_cast<std::uint32_t>(callers.count()));
    return message.SerializeAsString();
}

std::optional<RecordedSoftware> decode(const std::string &value)
{
    wire::ServiceSoftware message;
    if (!message.ParseFromString(value) || message.versions().empty()) {
        return std::nullopt;
    }
    RecordedSoftware recorded;
    recorded.versions.insert(message.versions().begin(), message.versions().end());
    recorded.callersTime = std::chrono::milliseconds(message.callers_ms());
    return recorded;
}

} // namespace

asio::awaitable<void> SoftwareRecorder::follow()
{
    BackOff backOff(FollowContext::RetryIntervals);
    // A version that is missing in the record then was first used after the servers were listed,
    // so that this node has seen it.
    while (!m_context.isStopped && !m_backends.isListed) {
        co_await m_context.pause(StartCheckInterval);
    }
    while (!m_context.isStopped) {
        const bool isInterrupted = m_listings != m_backends.listings;
        if (!m_isListed || isInterrupted || m_era != m_context.era.view().era) {
            m_isListed = co_await list(CallCause::Start);
            if (!m_isListed) {
                co_await m_context.failed(backOff);
            }
            continue;
        }
        if (m_dueSince && isTurn(BootClock::now())) {
            co_await write();
        }
        co_await m_context.pause(CheckInterval);
    }
}

void SoftwareRecorder::setDue(SoftwareRecords due)
{
    if (due.reading != m_reading) {
        return; // made before the last listing
    }
    m_due = std::move(due);
    m_dueSince = m_dueSince.value_or(BootClock::now());
}

bool SoftwareRecorder::isTurn(TimePoint now) const
{
    const std::size_t rank = m_sharing.readers.rank(now);
    return rank < Turns && now - *m_dueSince >= static_cast<Duration::rep>(rank) * TurnInterval;
}

asio::awaitable<bool> SoftwareRecorder::list(CallCause cause)
{
    m_context.calls.count(StoreCall::List, StoreTopic::Software, cause);
    const std::uint64_t listings = m_backends.listings;
    const auto newest = co_await m_context.store.newest(StateTopic::Software);
    if (!newest) {
        co_return false;
    }
    SoftwareRecords records;
    for (const KeyedRecord &each : newest->items) {
        auto recorded = decode(each.value);
        if (recorded) {
            records.services.emplace(each.key, std::move(*recorded));
        } else {
            LogEvent("bad_software_record", Severity::Warning).field("service", each.key);
        }
    }
    records.reading = ++m_reading;
    m_era = newest->era;
    m_end = newest->end;
    m_listings = listings;
    m_due.services.clear();
    m_context.listener.softwareRecorded(std::move(records));
    co_return true;
}

asio::awaitable<void> SoftwareRecorder::write()
{
    const TimePoint now = BootClock::now();
    const bool isFirst = m_sharing.readers.rank(now) == 0;
    if (!isFirst && !m_lookedAt) {
        // Most likely another node has written. If not, the change becomes due once more.
        m_lookedAt = now;
        m_isListed = co_await list(CallCause::Versions);
        co_return;
    }
    if (m_due.services.empty()) {
        if (!m_lookedAt || now - *m_lookedAt > TurnInterval) {
            m_dueSince.reset();
            m_lookedAt.reset();
        }
        co_return;
    }
    const SoftwareRecords due = m_due;
    for (const auto &[service, recorded] : due.services) {
        KeyedRecord record{service.str(), encode(recorded)};
        m_context.calls.count(StoreCall::Append, StoreTopic::Software, CallCause::Versions);
        const auto appended =
                co_await m_context.store.append(StateTopic::Software, std::move(record), m_end);
        if (!appended || !appended->isAccepted) {
            break; // another node has written
        }
        m_end = appended->end;
        LogEvent("software_recording")
                .field("service", service.str())
                .field("versions", recorded.versions.size())
                .field("callers_ms", recorded.callersTime);
    }
    m_dueSince.reset();
    m_lookedAt.reset();
    m_isListed = co_await list(CallCause::Versions);
}

} // namespace vanilladyke
