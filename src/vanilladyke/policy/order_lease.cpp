#include "vanilladyke/policy/order_lease.hpp"

#include <algorithm>

namespace vanilladyke {

OrderLease::OrderLease(std::string self, std::uint64_t incarnation, LeaseTerms terms)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_terms(terms)
{}

void OrderLease::logRead(std::uint64_t end, const std::optional<LeaseRecord> &last, TimePoint now)
{
    if (m_pendingAppend) {
        return;
    }
    if (!m_isLogCurrent || end != m_end) {
        const bool hasChanged = end != m_end || m_last != last || m_lastSeenAt == TimePoint();
        m_lastSeenAt = hasChanged ? now : m_lastSeenAt;
    }
    m_end = end;
    m_last = last;
    m_isLogCurrent = true;
    if (m_uncertainAppend && last == m_uncertainAppend->record && !last->isRelease) {
        m_holdsUntil = m_sentAt + m_terms.validity;
        m_fence = end;
    }
    m_uncertainAppend.reset();
    if (last && last->isRelease && last->holder != m_self) {
        m_recentlyOrdered = last->update.ordered;
        m_handoverUntil = m_lastSeenAt + m_terms.gap + m_terms.margin;
    }
    if (last && (last->holder != m_self || last->incarnation != m_incarnation)) {
        m_holdsUntil.reset();
    }
}

std::optional<LeaseAppend> OrderLease::nextAppend(bool needsLease, Duration claimDelay,
                                                  const LeaseUpdate &update, TimePoint now)
{
    if (!m_isLogCurrent || m_pendingAppend) {
        return std::nullopt;
    }
    const bool isOurs = m_last && m_last->holder == m_self;
    if (!needsLease && (!isOurs || m_last->isRelease || m_last->incarnation != m_incarnation)) {
        return std::nullopt;
    }
    if (needsLease && mayOrder(now) && now - m_sentAt < m_terms.renewAfter) {
        return std::nullopt;
    }
    const Duration timeout = m_terms.validity + m_terms.gap + m_terms.margin + claimDelay;
    const bool needsNoTimeout = !m_last || m_last->isRelease;
    const bool mayClaim = now - m_lastSeenAt >= (needsNoTimeout ? claimDelay : timeout);
    if (!isOurs && !mayClaim) {
        return std::nullopt;
    }
    m_pendingAppend = LeaseAppend{m_end, {m_self, m_incarnation, ++m_attempt, !needsLease, update}};
    m_sentAt = now;
    if (!needsLease) {
        m_holdsUntil.reset();
    }
    return m_pendingAppend;
}

void OrderLease::appended(std::uint64_t end, TimePoint now)
{
    if (!m_pendingAppend) {
        return;
    }
    m_last = std::move(m_pendingAppend->record);
    m_pendingAppend.reset();
    m_end = end;
    m_lastSeenAt = now;
    m_fence = end;
    if (!m_last->isRelease) {
        m_holdsUntil = m_sentAt + m_terms.validity;
    }
}

bool OrderLease::isInHandoverGap(const EngineId &engine, TimePoint now) const
{
    return now < m_handoverUntil
           && std::find(m_recentlyOrdered.begin(), m_recentlyOrdered.end(), engine)
                      != m_recentlyOrdered.end();
}

void OrderLease::appendUnresolved()
{
    m_uncertainAppend = m_pendingAppend;
    m_pendingAppend.reset();
    m_isLogCurrent = false;
}

} // namespace vanilladyke
