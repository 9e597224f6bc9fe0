#include "vanilladyke/node/spend_sharing.hpp"

#include "node_load.pb.h"
#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

using WireSpends = google::protobuf::RepeatedPtrField<wire::CustomerSpend>;

void write(const std::vector<SpendUpdate> &updates, WireSpends *out)
{
    for (const SpendUpdate &each : updates) {
        wire::CustomerSpend &spend = *out->Add();
        spend.set_customer(each.customer);
        spend.set_admitted(each.admitted);
        spend.set_refused(each.refused);
    }
}

std::vector<SpendUpdate> read(const WireSpends &spends)
{
    std::vector<SpendUpdate> updates;
    updates.reserve(static_cast<std::size_t>(spends.size()));
    for (const wire::CustomerSpend &each : spends) {
        updates.push_back({each.customer(), each.admitted(), each.refused()});
    }
    return updates;
}

QuotaLevels read(const wire::CustomerLevels &levels)
{
    QuotaLevels result;
    result.heard = std::clamp(levels.heard(), 0.0, 1.0);
    for (const wire::CustomerLevel &each : levels.low()) {
        result.low.push_back({each.customer(), each.level()});
    }
    return result;
}

} // namespace

SpendSharing::SpendSharing(TrafficState &state, Send send)
    : m_state(state)
    , m_send(std::move(send))
    , m_sequence(static_cast<std::uint64_t>(
              std::chrono::system_clock::now().time_since_epoch().count()))
{}

bool SpendSharing::mayAsk(TimePoint now) const
{
    return m_state.quota.needsLevels(now) && now - m_askedAt >= AskInterval;
}

bool SpendSharing::hasUpdates(TimePoint now) const
{
    return m_state.quota.tellBy().has_value() || !m_previous.empty() || mayAsk(now);
}

bool SpendSharing::isDue(TimePoint now) const
{
    const std::optional<TimePoint> tellBy = m_state.quota.tellBy();
    return (tellBy && now >= *tellBy) || mayAsk(now);
}

void SpendSharing::write(TimePoint now, wire::Spends *out)
{
    if (mayAsk(now)) {
        m_askedAt = now;
        out->set_asks_levels(true);
    }
    out->set_node(m_state.settings.self);
    out->set_sequence(++m_sequence);
    vanilladyke::write(m_previous, out->mutable_previous());
    m_previous = m_state.quota.takeUpdates();
    vanilladyke::write(m_previous, out->mutable_latest());
}

void SpendSharing::answer(const Udp::endpoint &origin, TimePoint now)
{
    const double others = static_cast<double>(std::max<std::size_t>(m_state.nodes, 2) - 1);
    if (uniform(m_state.random) >= Answers / others) {
        return;
    }
    const std::optional<QuotaLevels> levels = m_state.quota.levels(now);
    if (!levels || levels->low.size() > MaxLevels) {
        return;
    }
    wire::Spends message;
    message.mutable_levels()->set_heard(levels->heard);
    for (const QuotaLevel &each : levels->low) {
        wire::CustomerLevel &level = *message.mutable_levels()->add_low();
        level.set_customer(each.customer);
        level.set_level(each.level);
    }
    m_send(message, origin);
}

void SpendSharing::receive(const wire::Spends &message, const std::optional<Udp::endpoint> &origin,
                           TimePoint now)
{
    if (message.has_levels()) {
        if (m_state.quota.needsLevels(now)) {
            const QuotaLevels levels = read(message.levels());
            m_state.quota.applyLevels(levels, now);
            LogEvent("quota_levels_received")
                    .field("low", levels.low.size())
                    .field("heard", levels.heard)
                    .field("up_ms", now - m_state.startedAt);
        }
        return;
    }
    if (message.node() == m_state.settings.self) {
        return;
    }
    if (message.asks_levels() && origin) {
        answer(*origin, now);
    }
    const auto [known, isFirst] = m_received.try_emplace(message.node(), message.sequence());
    const std::uint64_t before = known->second;
    if (!isFirst && message.sequence() <= before) {
        return;
    }
    known->second = message.sequence();
    if (!isFirst && message.sequence() > before + 1) {
        m_state.quota.applyUpdates(read(message.previous()), now);
        m_state.metrics.count("spend_messages_missed_total");
    }
    m_state.quota.applyUpdates(read(message.latest()), now);
}

} // namespace vanilladyke
