#include "vanilladyke/policy/slot_forecast.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// Averaging time of send rates; a prefix becomes hot within less.
constexpr double RateWindowSeconds = 1.0;
/// Steps of the binary search; they give a resolution of about a hundredth of the service time.
constexpr int SearchSteps = 7;

/// Expected number of requests of the groups that end within the time span.
double endedWithin(Duration span, const std::vector<RequestGroup> &groups, double tokensPerSecond,
                   const AnswerLengths &lengths, TimePoint now)
{
    const double more = secondsOf(span) * tokensPerSecond;
    double sum = 0;
    for (const RequestGroup &group : groups) {
        const double made = secondsOf(now - group.since) * tokensPerSecond;
        const double left = lengths.fractionLongerThan(made);
        // Older than any known answer: the request has ended, and another one with an unknown start
        // time took its slot.
        const double ended = left > 0 ? 1 - lengths.fractionLongerThan(made + more) / left
                                      : std::min(1.0, more / lengths.mean());
        sum += ended * group.requests;
    }
    return sum;
}

double decayed(double count, TimePoint since, TimePoint now)
{
    return count * std::exp(-secondsOf(now - since) / RateWindowSeconds);
}

} // namespace

void AnswerLengths::ended(double tokens)
{
    m_latest.at(m_next) = tokens;
    m_next = (m_next + 1) % MaxSamples;
    m_count = std::min(m_count + 1, MaxSamples);
    m_sorted = m_latest;
    std::sort(m_sorted.begin(), m_sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
    double sum = 0;
    for (std::size_t i = 0; i < m_count; ++i) {
        sum += m_sorted.at(i);
    }
    m_mean = sum / static_cast<double>(m_count);
}

double AnswerLengths::fractionLongerThan(double tokens) const
{
    const auto end = m_sorted.begin() + static_cast<std::ptrdiff_t>(m_count);
    const auto longer = end - std::upper_bound(m_sorted.begin(), end, tokens);
    return static_cast<double>(longer) / static_cast<double>(m_count);
}

void SlotForecast::sent(EngineKey engine, TimePoint now)
{
    pruneExpired(now);
    Sent &known = m_sent[engine];
    known.count = decayed(known.count, known.at, now) + 1;
    known.at = now;
}

double SlotForecast::sentByOthers(EngineKey engine, const LoadReport &load, std::uint32_t nodes,
                                  TimePoint now) const
{
    const auto found = m_sent.find(engine);
    if (found == m_sent.end() || nodes <= 1) {
        return 0;
    }
    const double rate = decayed(found->second.count, found->second.at, now) / RateWindowSeconds;
    return (nodes - 1) * rate * std::max(0.0, secondsOf(now - load.measuredAt));
}

Duration SlotForecast::untilFree(const EngineView &engine, double slots, std::uint32_t answerTokens,
                                 TimePoint now) const
{
    const double rate = engine.load.decodeTokensPerSecond;
    const double service = (m_lengths.isKnown() ? m_lengths.mean() : answerTokens) / rate;
    const double running = engine.slotAges ? engine.slotAges->running() : 0;
    if (!m_lengths.isKnown() || running < 1) {
        return spanOfSeconds(slots * service / engine.slots);
    }
    // The requests queued ahead take the slots of all running ones and must end as well.
    const double rounds = std::floor((slots - 1) / running);
    const double wanted = std::max(1.0, slots - rounds * running);
    double least = 0;
    double most = 2 * service;
    for (int i = 0; i < SearchSteps; ++i) {
        const double middle = (least + most) / 2;
        const double ended =
                endedWithin(spanOfSeconds(middle), engine.slotAges->groups(), rate, m_lengths, now);
        (ended >= wanted ? most : least) = middle;
    }
    return spanOfSeconds(rounds * service + most);
}

void SlotForecast::pruneExpired(TimePoint now)
{
    if (now - m_prunedAt < RetentionTime) {
        return;
    }
    m_prunedAt = now;
    std::erase_if(m_sent, [now](const auto &item) { return now - item.second.at > RetentionTime; });
}

} // namespace vanilladyke
