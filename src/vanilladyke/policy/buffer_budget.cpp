#include "vanilladyke/policy/buffer_budget.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Weight of the latest share in the mean time for which shares are held.
constexpr double HoldWeight = 0.1;

std::size_t part(std::size_t total, double fraction)
{
    return static_cast<std::size_t>(static_cast<double>(total) * fraction);
}

} // namespace

BufferBudget::BufferBudget(std::size_t total)
    : m_total(total)
{
    queue(BodyKind::Small).limit = part(total, SmallPart);
    queue(BodyKind::Large).limit = part(total, LargePart);
}

BufferBudget::Admission BufferBudget::enter(std::size_t bytes, TimePoint until, TimePoint now)
{
    const BodyKind kind = kindOf(bytes);
    Queue &own = queue(kind);
    if (own.waiters.empty() && hasRoom(kind, bytes)) {
        own.held += bytes;
        return {BodyEntry::Granted, 0};
    }
    const bool hasPlace = (waiting() + 1) * WaitingBody <= part(m_total, WaitingPart);
    if (!hasPlace || bytes > m_total || now + expectedWait(own, bytes) >= until) {
        return {BodyEntry::Refused, 0};
    }
    own.waiters.push_back({++m_lastTicket, bytes});
    own.waitingBytes += bytes;
    return {BodyEntry::Waits, m_lastTicket};
}

bool BufferBudget::hasRoom(BodyKind kind, std::size_t bytes) const
{
    const Queue &small = m_queues.at(static_cast<std::size_t>(BodyKind::Small));
    const Queue &large = m_queues.at(static_cast<std::size_t>(BodyKind::Large));
    const bool fits = held() + bytes <= m_total;
    if (kind == BodyKind::Small) {
        return small.held + bytes <= small.limit || (fits && large.waiters.empty());
    }
    // One that is larger than the part for such bodies is read alone.
    return fits && (large.held == 0 || large.held + bytes <= large.limit);
}

Duration BufferBudget::expectedWait(const Queue &queue, std::size_t bytes) const
{
    const double ahead = static_cast<double>(queue.held + queue.waitingBytes + bytes);
    const double limit = std::max(static_cast<double>(queue.limit), 1.0);
    return spanOfSeconds(std::max(ahead / limit - 1, 0.0) * queue.meanHoldSeconds);
}

std::vector<BufferBudget::Ticket> BufferBudget::release(BodyKind kind, std::size_t bytes)
{
    queue(kind).held -= bytes;
    return grant();
}

void BufferBudget::recordHold(BodyKind kind, Duration held)
{
    double &mean = queue(kind).meanHoldSeconds;
    mean = mean <= 0 ? secondsOf(held) : mean + HoldWeight * (secondsOf(held) - mean);
}

std::vector<BufferBudget::Ticket> BufferBudget::withdraw(Ticket ticket)
{
    for (Queue &each : m_queues) {
        const auto found = std::find_if(each.waiters.begin(), each.waiters.end(),
                                        [=](const Waiter &one) { return one.ticket == ticket; });
        if (found != each.waiters.end()) {
            each.waitingBytes -= found->bytes;
            each.waiters.erase(found);
        }
    }
    return grant();
}

std::vector<BufferBudget::Ticket> BufferBudget::dropAnswer(std::size_t bytes)
{
    m_answers -= bytes;
    return grant();
}

std::vector<BufferBudget::Ticket> BufferBudget::grant()
{
    std::vector<Ticket> granted;
    // The large ones first: small ones use what these leave.
    for (const BodyKind kind : {BodyKind::Large, BodyKind::Small}) {
        Queue &own = queue(kind);
        while (!own.waiters.empty() && hasRoom(kind, own.waiters.front().bytes)) {
            const Waiter next = own.waiters.front();
            own.waiters.pop_front();
            own.waitingBytes -= next.bytes;
            own.held += next.bytes;
            granted.push_back(next.ticket);
        }
    }
    return granted;
}

bool BufferBudget::hasRoomForAnswers() const
{
    return m_answers <= part(m_total, AnswersPart) && held() <= m_total;
}

std::size_t BufferBudget::largestAnswer() const
{
    const std::size_t limit = part(m_total, AnswersPart);
    const std::size_t left = std::max(limit - std::min(m_answers, limit), SmallAnswer);
    return hasRoomForAnswers() ? left : std::min(left, OrdinaryAnswer);
}

std::size_t BufferBudget::held() const
{
    std::size_t bytes = m_answers;
    for (const Queue &each : m_queues) {
        bytes += each.held;
    }
    return bytes;
}

std::size_t BufferBudget::waiting() const
{
    std::size_t count = 0;
    for (const Queue &each : m_queues) {
        count += each.waiters.size();
    }
    return count;
}

} // namespace vanilladyke
