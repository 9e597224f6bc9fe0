#include "vanilladyke/traffic/buffer_gate.hpp"

namespace vanilladyke {

BodyShare::BodyShare(std::shared_ptr<BufferGate> gate, std::size_t bytes)
    : m_gate(std::move(gate))
    , m_kind(BufferBudget::kindOf(bytes))
    , m_bytes(bytes)
    , m_wait(m_gate->m_context)
{}

BodyShare::~BodyShare()
{
    m_gate->leave(*this);
}

void BodyShare::shrinkTo(std::size_t bytes)
{
    if (bytes < m_bytes) {
        m_gate->wake(m_gate->m_budget.release(m_kind, m_bytes - bytes));
        m_bytes = bytes;
    }
}

void AnswerShare::resize(std::size_t bytes)
{
    if (bytes > m_bytes) {
        m_gate->keepAnswer(bytes - m_bytes);
    } else if (bytes < m_bytes) {
        m_gate->dropAnswer(m_bytes - bytes);
    }
    m_bytes = bytes;
}

bool AnswerShare::fits(std::size_t length) const
{
    return length <= m_gate->budget().largestAnswer();
}

asio::awaitable<BodySharePtr> BufferGate::enter(std::size_t bytes, TimePoint until)
{
    const TimePoint now = MonotonicClock::now();
    const BufferBudget::Admission admission = m_budget.enter(bytes, until, now);
    if (admission.entry == BodyEntry::Refused) {
        co_return nullptr;
    }
    const auto share = std::make_shared<BodyShare>(shared_from_this(), bytes);
    if (admission.entry == BodyEntry::Granted) {
        share->m_grantedAt = now;
        co_return share;
    }
    ++m_waited;
    share->m_hasWaited = true;
    share->m_ticket = admission.ticket;
    m_waiters.emplace(admission.ticket, share.get());
    share->m_wait.expires_at(until);
    ErrorCode ignored;
    co_await share->m_wait.async_wait(redirectError(ignored));
    co_return share->m_grantedAt ? share : nullptr;
}

void BufferGate::dropAnswer(std::size_t bytes)
{
    wake(m_budget.dropAnswer(bytes));
}

void BufferGate::wake(const std::vector<BufferBudget::Ticket> &granted)
{
    for (const BufferBudget::Ticket ticket : granted) {
        BodyShare &share = *m_waiters.at(ticket);
        m_waiters.erase(ticket);
        share.m_ticket.reset();
        share.m_grantedAt = MonotonicClock::now();
        share.m_wait.cancel();
    }
}

void BufferGate::leave(BodyShare &share)
{
    if (share.m_grantedAt) {
        m_budget.recordHold(share.m_kind, MonotonicClock::now() - *share.m_grantedAt);
        wake(m_budget.release(share.m_kind, share.m_bytes));
    } else if (share.m_ticket) {
        m_waiters.erase(*share.m_ticket);
        wake(m_budget.withdraw(*share.m_ticket));
    }
}

} // namespace vanilladyke
