#include "vanilladyke/policy/in_flight.hpp"

#include <algorithm>

namespace vanilladyke {

InFlightTicket InFlight::start(EngineKey engine, std::uint64_t prefillTokens, TimePoint now)
{
    const std::uint64_t number = m_next++;
    m_work[engine].push_back({number, prefillTokens, now});
    return {engine, number};
}

void InFlight::firstToken(const InFlightTicket &ticket)
{
    const auto found = m_work.find(ticket.engine);
    if (found == m_work.end()) {
        return;
    }
    for (Work &work : found->second) {
        if (work.number == ticket.number) {
            work.prefillTokens = 0;
        }
    }
}

void InFlight::finish(const InFlightTicket &ticket)
{
    const auto found = m_work.find(ticket.engine);
    if (found == m_work.end()) {
        return;
    }
    std::erase_if(found->second, [&](const Work &work) { return work.number == ticket.number; });
    if (found->second.empty()) {
        m_work.erase(found);
    }
}

UnreportedWork InFlight::since(EngineKey engine, TimePoint measuredAt) const
{
    UnreportedWork sum;
    const auto found = m_work.find(engine);
    if (found == m_work.end()) {
        return sum;
    }
    const std::vector<Work> &all = found->second;
    for (std::size_t i = all.size(); i-- > 0 && all[i].startedAt > measuredAt;) {
        sum.prefillTokens += all[i].prefillTokens;
        ++sum.requests;
    }
    return sum;
}

std::uint32_t InFlight::count(EngineKey engine) const
{
    const auto found = m_work.find(engine);
    return found == m_work.end() ? 0 : static_cast<std::uint32_t>(found->second.size());
}

} // namespace vanilladyke
