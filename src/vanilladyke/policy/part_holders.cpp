#include "vanilladyke/policy/part_holders.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::size_t UsesBetweenCleanings = 4096;
constexpr std::size_t MostBackends = 16384;

} // namespace

void PartHolders::used(const Use &use, TimePoint now)
{
    if (++m_sinceCleaning >= UsesBetweenCleanings) {
        forgetOld(now);
    }
    const auto known = m_parts.find(use.part);
    if (known == m_parts.end() && m_parts.size() >= MostParts) {
        return;
    }
    std::uint64_t &written = m_written[use.backend];
    written += use.written;
    std::vector<Holder> &holders = known == m_parts.end() ? m_parts[use.part] : known->second;
    std::erase_if(holders, [&](const Holder &each) { return each.backend == use.backend; });
    if (holders.size() >= MostHolders) {
        holders.erase(holders.begin());
    }
    holders.push_back({use.backend, use.weights, now, written});
}

bool PartHolders::isThere(const Holder &holder, const Question &question, TimePoint now) const
{
    if (holder.weights != question.weights || now - holder.at >= Life) {
        return false;
    }
    if (question.memoryTokens == 0) {
        return now - holder.at < UnknownLife;
    }
    const auto written = m_written.find(holder.backend);
    const std::uint64_t since = written == m_written.end() ? 0 : written->second - holder.mark;
    return static_cast<double>(since + question.tokens)
           <= CachePart * static_cast<double>(question.memoryTokens);
}

bool PartHolders::holds(const Question &question, std::uint64_t backend, TimePoint now) const
{
    const auto known = m_parts.find(question.part);
    return known != m_parts.end()
           && std::any_of(known->second.begin(), known->second.end(), [&](const Holder &each) {
                  return each.backend == backend && isThere(each, question, now);
              });
}

std::vector<std::uint64_t> PartHolders::holders(const Question &question, TimePoint now) const
{
    std::vector<std::uint64_t> result;
    const auto known = m_parts.find(question.part);
    if (known != m_parts.end()) {
        for (const Holder &each : known->second) {
            if (isThere(each, question, now)) {
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

void PartHolders::forgetOld(TimePoint now)
{
    m_sinceCleaning = 0;
    for (auto item = m_parts.begin(); item != m_parts.end();) {
        std::erase_if(item->second, [now](const Holder &each) { return now - each.at >= Life; });
        item = item->second.empty() ? m_parts.erase(item) : std::next(item);
    }
    if (m_written.size() > MostBackends) {
        m_parts.clear(); // the recorded counts are invalid without m_written
        m_written.clear();
    }
}

} // namespace vanilladyke
