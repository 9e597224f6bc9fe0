#include "vanilladyke/policy/order_lease.hpp"

#include <algorithm>

namespace vanilladyke {

OrderLease::OrderLease(std::string self, std::uint64_t incarnation, LeaseTerms terms)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_terms(terms)
{}

void OrderLease::sawLog(std::uint64_t end, const std::optional<LeaseRecord> &last, TimePoint now)
{
    if (m_underWay) {
        return;
    }
    if (!m_isCurrent || end != m_end) {
        const bool isNews = end != m_end || m_last != last || m_lastSeenAt == TimePoint();
        m_lastSeenAt = isNews ? now : m_lastSeenAt;
    }
    m_end = end;
    m_last = last;
    m_isCurrent = true;
    if (m_inDoubt && last == m_inDoubt->record && !last->isRelease) {
        m_holdsUntil = m_sentAt + m_terms.validity;
        m_fence = end;
    }
    m_inDoubt.reset();
    if (last && last->isRelease && last->holder != m_self) {
        m_resting = last->news.ordered;
        m_restUntil = m_lastSeenAt + m_terms.gap + m_terms.margin;
    }
    if (last && (last->holder != m_self || last->incarnation != m_incarnation)) {
        m_holdsUntil.reset();
    }
}

std::optional<LeaseAppend> OrderLease::nextAppend(bool wantsToOrder, Duration patience,
                                                  const LeaseNews &news, TimePoint now)
{
    if (!m_isCurrent || m_underWay) {
        return std::nullopt;
    }
    const bool isOurs = m_last && m_last->holder == m_self;
    if (!wantsToOrder && (!isOurs || m_last->isRelease || m_last->incarnation != m_incarnation)) {
        return std::nullopt;
    }
    if (wantsToOrder && mayOrder(now) && now - m_sentAt < m_terms.renewAfter) {
        return std::nullopt;
    }
    const Duration silence = m_terms.validity + m_terms.gap + m_terms.margin + patience;
    const bool needsNoSilence = !m_last || m_last->isRelease;
    const bool isFree = now - m_lastSeenAt >= (needsNoSilence ? patience : silence);
    if (!isOurs && !isFree) {
        return std::nullopt;
    }
    m_underWay = LeaseAppend{m_end, {m_self, m_incarnation, ++m_attempt, !wantsToOrder, news}};
    m_sentAt = now;
    if (!wantsToOrder) {
        m_holdsUntil.reset();
    }
    return m_underWay;
}

void OrderLease::appended(std::uint64_t end, TimePoint now)
{
    if (!m_underWay) {
        return;
    }
    m_last = std::move(m_underWay->record);
    m_underWay.reset();
    m_end = end;
    m_lastSeenAt = now;
    m_fence = end;
    if (!m_last->isRelease) {
        m_holdsUntil = m_sentAt + m_terms.validity;
    }
}

bool OrderLease::isResting(const EngineId &engine, TimePoint now) const
{
    return now < m_restUntil
           && std::find(m_resting.begin(), m_resting.end(), engine) != m_resting.end();
}

void OrderLease::appendInDoubt()
{
    m_inDoubt = m_underWay;
    m_underWay.reset();
    m_isCurrent = false;
}

} // namespace vanilladyke
