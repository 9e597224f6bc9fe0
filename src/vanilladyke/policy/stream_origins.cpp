#include "vanilladyke/policy/stream_origins.hpp"

#include "vanilladyke/model/ids.hpp"

#include <algorithm>

namespace vanilladyke {

std::uint64_t attemptKey(std::string_view attempt)
{
    return hashOfName(attempt);
}

std::uint64_t softwareKey(std::string_view version)
{
    return hashOfName(version);
}

void StreamOrigins::record(const StreamOrigin &origin, TimePoint now)
{
    if (origin.until <= now) {
        return;
    }
    const auto known = m_byAttempt.find(origin.attempt);
    if (known != m_byAttempt.end()) {
        known->second.until = std::max(known->second.until, origin.until);
        return;
    }
    makeRoom(now);
    m_byAttempt.emplace(origin.attempt, origin);
    m_order.push_back(origin.attempt);
}

void StreamOrigins::makeRoom(TimePoint now)
{
    while (!m_order.empty()) {
        const auto oldest = m_byAttempt.find(m_order.front());
        if (oldest->second.until > now && m_byAttempt.size() < MaxStreams) {
            return;
        }
        m_byAttempt.erase(oldest);
        m_order.pop_front();
    }
}

std::optional<std::uint64_t> StreamOrigins::find(std::uint64_t attempt, TimePoint now) const
{
    const auto known = m_byAttempt.find(attempt);
    const bool isLive = known != m_byAttempt.end() && now < known->second.until;
    return isLive ? std::optional(known->second.software) : std::nullopt;
}

std::vector<StreamOrigin> StreamOrigins::live(TimePoint now) const
{
    std::vector<StreamOrigin> result;
    for (const std::uint64_t attempt : m_order) {
        const StreamOrigin &each = m_byAttempt.at(attempt);
        if (now < each.until) {
            result.push_back(each);
        }
    }
    return result;
}

} // namespace vanilladyke
