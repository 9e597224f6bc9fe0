#include "vanilladyke/policy/part_holders.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::size_t UsesBetweenCleanups = 4096;
constexpr std::size_t MaxBackends = 16384;

} // namespace

void PartHolders::recordUse(const Use &use, TimePoint now)
{
    if (++m_usesSinceCleanup >= UsesBetweenCleanups) {
        dropExpired(now);
    }
    const auto known = m_parts.find(use.part);
    if (known == m_parts.end() && m_parts.size() >= MaxParts) {
        return;
    }
    std::uint64_t &written = m_written[use.backend];
    written += use.written;
    std::vector<Holder> &holders = known == m_parts.end() ? m_parts[use.part] : known->second;
    std::erase_if(holders, [&](const Holder &each) { return each.backend == use.backend; });
    if (holders.size() >= MaxHolders) {
        holders.erase(holders.begin());
    }
    holders.push_back({use.backend, use.weights, now, written});
}

bool PartHolders::isCached(const Holder &holder, const Lookup &lookup, TimePoint now) const
{
    if (holder.weights != lookup.weights || now - holder.at >= Lifetime) {
        return false;
    }
    if (lookup.memoryTokens == 0) {
        return now - holder.at < LifetimeWithoutCapacity;
    }
    const auto written = m_written.find(holder.backend);
    const std::uint64_t since =
            written == m_written.end() ? 0 : written->second - holder.writtenAtUse;
    return static_cast<double>(since + lookup.tokens)
           <= CacheFraction * static_cast<double>(lookup.memoryTokens);
}

bool PartHolders::holds(const Lookup &lookup, std::uint64_t backend, TimePoint now) const
{
    const auto known = m_parts.find(lookup.part);
    return known != m_parts.end()
           && std::any_of(known->second.begin(), known->second.end(), [&](const Holder &each) {
                  return each.backend == backend && isCached(each, lookup, now);
              });
}

std::vector<std::uint64_t> PartHolders::holders(const Lookup &lookup, TimePoint now) const
{
    std::vector<std::uint64_t> result;
    const auto known = m_parts.find(lookup.part);
    if (known != m_parts.end()) {
        for (const Holder &each : known->second) {
            if (isCached(each, lookup, now)) {
                result.push_back(each.backend);
            }
        }
    }
    return result;
}

std::vector<std::uint64_t> PartHolders::backends(std::uint64_t part) const
{
    std::vector<std::uint64_t> result;
    const auto known = m_parts.find(part);
    if (known != m_parts.end()) {
        for (const Holder &each : known->second) {
            result.push_back(each.backend);
        }
    }
    return result;
}

void PartHolders::dropExpired(TimePoint now)
{
    m_usesSinceCleanup = 0;
    for (auto item = m_parts.begin(); item != m_parts.end();) {
        std::erase_if(item->second,
                      [now](const Holder &each) { return now - each.at >= Lifetime; });
        item = item->second.empty() ? m_parts.erase(item) : std::next(item);
    }
    if (m_written.size() > MaxBackends) {
        m_parts.clear(); // the recorded counts are invalid without m_written
        m_written.clear();
    }
}

} // namespace vanilladyke
