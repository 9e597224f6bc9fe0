#include "vanilladyke/policy/order_lease.hpp"

#include <algorithm>

namespace vanilladyke {

OrderLease::OrderLease(std::string self, std::uint64_t incarnation, LeaseTerms terms)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_terms(terms)
{}

std::uint64_t OrderLease::fenceAt(std::uint64_t end) const
{
    return (m_era.era << OffsetBits) + end;
}

void OrderLease::hold(std::uint64_t end)
{
    m_holdsUntil = m_sentAt + m_terms.validity;
    m_heldEra = m_era.era;
    m_fence = fenceAt(end);
}

bool OrderLease::mayBeHeldFromBefore(TimePoint now) const
{
    return m_era.era > 0 && now - m_era.since < m_terms.validity + m_terms.gap + m_terms.margin;
}

void OrderLease::eraKnown(const StoreEraView &era, TimePoint now)
{
    if (era.era > m_era.era) {
        m_isLogCurrent = false;
        m_uncertainAppend.reset(); // what it would confirm was lost
        m_lastSeenAt = now;
    }
    m_era = era;
}

void OrderLease::logRead(std::uint64_t end, std::optional<LeaseRecord> last, TimePoint now,
                         std::uint64_t era)
{
    if (m_pendingAppend || era != m_era.era) {
        return;
    }
    if (!last && end > 0) {
        last = LeaseRecord::unknown();
    }
    if (!m_isLogCurrent || end != m_end) {
        const bool hasChanged = end != m_end || m_last != last || m_lastSeenAt == TimePoint();
        m_lastSeenAt = hasChanged ? now : m_lastSeenAt;
    }
    m_end = end;
    m_last = std::move(last);
    m_isLogCurrent = true;
    if (m_uncertainAppend && m_last == m_uncertainAppend->record && !m_last->isRelease) {
        hold(end);
    }
    m_uncertainAppend.reset();
    noteOrdersOfLast();
    const bool isOthers =
            m_last && (m_last->holder != m_self || m_last->incarnation != m_incarnation);
    // A record of an older copy is older than this node's claim, which the copy lacks.
    if (isOthers && m_heldEra == m_era.era) {
        m_holdsUntil.reset();
    }
}

void OrderLease::noteOrder(const EngineId &engine, const std::string &holder, TimePoint at)
{
    TimePoint &known = m_orderedAt[{engine, holder}];
    known = std::max(known, at);
}

void OrderLease::noteOrdersOfLast()
{
    if (!m_last || (m_last->holder == m_self && m_last->incarnation == m_incarnation)) {
        return;
    }
    for (const PastOrder &each : m_last->update.orders) {
        noteOrder(each.engine, each.holder, m_lastSeenAt - each.age);
    }
    if (m_last->holder == m_self && !m_last->isRelease) {
        noteOrder(EngineId(), m_self, m_lastSeenAt);
    }
}

bool OrderLease::isWithinGap(TimePoint orderedAt, TimePoint now) const
{
    return now - orderedAt < m_terms.gap + m_terms.margin;
}

std::vector<PastOrder> OrderLease::recentOrders(TimePoint now)
{
    std::erase_if(m_orderedAt, [&](const auto &item) { return !isWithinGap(item.second, now); });
    std::vector<PastOrder> result;
    for (const auto &[order, at] : m_orderedAt) {
        result.push_back({order.first, order.second, now - at});
    }
    return result;
}

std::optional<LeaseAppend> OrderLease::nextAppend(bool needsLease, Duration claimDelay,
                                                  std::vector<WeightsAge> weights, TimePoint now)
{
    if (!m_isLogCurrent || m_pendingAppend) {
        return std::nullopt;
    }
    const bool isOurs = m_last && m_last->holder == m_self;
    if (!needsLease && (!isOurs || m_last->isRelease || m_last->incarnation != m_incarnation)) {
        return std::nullopt;
    }
    const bool isHeld = mayOrder(now);
    if (needsLease && isHeld && m_heldEra == m_era.era && now - m_sentAt < m_terms.renewAfter) {
        return std::nullopt;
    }
    if (needsLease && !isHeld && mayBeHeldFromBefore(now)) {
        return std::nullopt;
    }
    const Duration timeout = m_terms.validity + m_terms.gap + m_terms.margin + claimDelay;
    const bool needsNoTimeout = !m_last || m_last->isRelease;
    const bool mayClaim = now - m_lastSeenAt >= (needsNoTimeout ? claimDelay : timeout);
    if (!isOurs && !isHeld && !mayClaim) {
        return std::nullopt;
    }
    LeaseUpdate update{recentOrders(now), std::move(weights)};
    m_pendingAppend = LeaseAppend{
            m_end, {m_self, m_incarnation, ++m_attempt, !needsLease, std::move(update)}};
    m_sentAt = now;
    m_appendEra = m_era.era;
    if (!needsLease) {
        m_holdsUntil.reset();
    }
    return m_pendingAppend;
}

void OrderLease::appended(std::uint64_t end, TimePoint now, std::uint64_t era)
{
    if (!m_pendingAppend) {
        return;
    }
    if (era != m_appendEra || era != m_era.era) {
        appendUnresolved();
        return;
    }
    m_last = std::move(m_pendingAppend->record);
    m_pendingAppend.reset();
    m_end = end;
    m_lastSeenAt = now;
    m_fence = fenceAt(end);
    if (!m_last->isRelease) {
        hold(end);
    }
}

bool OrderLease::isInHandoverGap(const EngineId &engine, TimePoint now) const
{
    return std::any_of(m_orderedAt.begin(), m_orderedAt.end(), [&](const auto &item) {
        const auto &[ordered, holder] = item.first;
        const bool concerns = ordered == engine || ordered.empty();
        return concerns && holder != m_self && isWithinGap(item.second, now);
    });
}

void OrderLease::appendUnresolved()
{
    m_uncertainAppend = m_appendEra == m_era.era ? m_pendingAppend : std::nullopt;
    m_pendingAppend.reset();
    m_isLogCurrent = false;
}

} // namespace vanilladyke
