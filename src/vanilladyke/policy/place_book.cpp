#include "vanilladyke/policy/place_book.hpp"

#include <algorithm>
#include <cmath>

namespace vanilladyke {

namespace {

/// Weight of the newest use in the mean time for which a place is held.
constexpr double HoldWeight = 0.1;
/// Part of the rejections that the engine bears in a second.
constexpr double RejectionShare = 0.5;

} // namespace

PlaceBook::PlaceBook(const PlaceTerms &terms, TimePoint openFrom, TimePoint now)
    : m_terms(terms)
    , m_openFrom(std::max(openFrom, now))
    , m_most(std::max(terms.slots, 1))
    , m_learned(std::min(m_most, FirstPlaces))
    , m_growAt(now)
{}

void PlaceBook::setTerms(const PlaceTerms &terms, double share)
{
    m_terms = terms;
    // Without a single place, the last node of a fleet would serve nothing.
    m_most = std::max(1, static_cast<int>(std::floor(terms.slots * share)));
}

int PlaceBook::places() const
{
    return std::min(m_learned, m_most);
}

bool PlaceBook::isHeldBack(TimePoint now) const
{
    const auto most = std::max(1.0, std::floor(m_terms.rejections * RejectionShare));
    return now < m_openFrom || static_cast<double>(m_rejections.size()) >= most;
}

void PlaceBook::expire(TimePoint now)
{
    std::erase_if(m_held, [now](const auto &item) {
        return item.second.until <= now && item.second.until.has_value();
    });
    std::erase_if(m_queue, [now](const Waiting &each) { return each.until <= now; });
    while (!m_rejections.empty() && now - m_rejections.front() >= CountedFor) {
        m_rejections.pop_front();
    }
}

double PlaceBook::memoryHeld() const
{
    double tokens = 0;
    for (const auto &[key, held] : m_held) {
        tokens += held.tokens;
    }
    return tokens;
}

bool PlaceBook::mayGrow(TimePoint now)
{
    if (m_isStarting || now < m_growAt) {
        return false;
    }
    m_growAt = now + GrowthInterval;
    m_keptFor = std::max<Duration>(m_keptFor - KeepStep / 2, Duration::zero());
    return true;
}

bool PlaceBook::hasRoom(double tokens, int told, TimePoint now)
{
    if (isHeldBack(now)) {
        return false;
    }
    auto used = static_cast<int>(m_held.size());
    if (now < m_openFrom + Transition) {
        used = std::max(used, told);
        // What runs already is known to fit.
        m_learned =
                m_isStarting ? std::clamp(told, m_learned, std::max(m_most, m_learned)) : m_learned;
    }
    if (used >= m_learned && used < m_most && mayGrow(now)) {
        ++m_learned;
    }
    if (used >= places()) {
        return false;
    }
    const double needed = memoryHeld() + tokens;
    if (m_held.empty()) {
        return true;
    }
    if (m_memory && needed > *m_memory && mayGrow(now)) {
        m_memory = *m_memory * MemoryGrowth;
    }
    return (m_terms.memoryTokens <= 0 || needed <= m_terms.memoryTokens)
           && (!m_memory || needed <= *m_memory);
}

void PlaceBook::grant(const PlaceAsk &ask, TimePoint now)
{
    m_held[{ask.node, ask.id}] = {now, ask.tokens, std::nullopt};
}

Duration PlaceBook::predictedWait(std::size_t ahead, TimePoint now) const
{
    const double perPlace = secondsOf(m_meanHold) / std::max(places(), 1);
    Duration wait = spanOfSeconds(static_cast<double>(ahead + 1) * perPlace);
    if (now < m_openFrom) {
        wait += m_openFrom - now;
    } else if (isHeldBack(now)) {
        wait += m_rejections.front() + CountedFor - now;
    }
    return wait;
}

std::deque<PlaceBook::Waiting>::iterator PlaceBook::queued(const Key &key)
{
    return std::find_if(m_queue.begin(), m_queue.end(), [&key](const Waiting &each) {
        return Key{each.ask.node, each.ask.id} == key;
    });
}

PlaceAnswer PlaceBook::ask(const PlaceAsk &ask, int told, TimePoint now)
{
    expire(now);
    const Key key{ask.node, ask.id};
    if (m_held.contains(key)) {
        return {ask.node, ask.id, PlaceVerdict::Granted, {}}; // the answer was lost
    }
    if (queued(key) != m_queue.end()) {
        return {ask.node, ask.id, PlaceVerdict::Queued, {}};
    }
    const auto behind = std::find_if(m_queue.begin(), m_queue.end(), [&ask](const Waiting &each) {
        return each.ask.urgency > ask.urgency;
    });
    if (behind == m_queue.begin() && hasRoom(ask.tokens, told, now)) {
        grant(ask, now);
        return {ask.node, ask.id, PlaceVerdict::Granted, {}};
    }
    const auto ahead = static_cast<std::size_t>(behind - m_queue.begin());
    const Duration wait = predictedWait(ahead, now);
    if (wait > ask.patience || m_queue.size() >= MaxQueued) {
        return {ask.node, ask.id, PlaceVerdict::Denied, wait};
    }
    m_queue.insert(behind, {ask, now + ask.patience});
    return {ask.node, ask.id, PlaceVerdict::Queued, {}};
}

std::vector<PlaceAnswer> PlaceBook::grantQueued(int told, TimePoint now)
{
    expire(now);
    std::vector<PlaceAnswer> answers;
    // Strictly in order: smaller requests that overtake a large one would keep it waiting for good.
    while (!m_queue.empty() && hasRoom(m_queue.front().ask.tokens, told, now)) {
        const PlaceAsk ask = m_queue.front().ask;
        m_queue.pop_front();
        grant(ask, now);
        answers.push_back({ask.node, ask.id, PlaceVerdict::Granted, {}});
    }
    return answers;
}

void PlaceBook::giveBack(const PlaceReturn &place, TimePoint now)
{
    expire(now);
    const Key key{place.node, place.id};
    if (const auto waiting = queued(key); waiting != m_queue.end()) {
        m_queue.erase(waiting);
    }
    const auto found = m_held.find(key);
    if (found == m_held.end()) {
        return;
    }
    if (found->second.until) {
        return; // a repeated return
    }
    if (place.end == PlaceEnd::Aborted) {
        found->second.until = now + AbortedFor;
        return;
    }
    if (place.end == PlaceEnd::Served) {
        const double change = secondsOf(now - found->second.since) - secondsOf(m_meanHold);
        m_meanHold = spanOfSeconds(secondsOf(m_meanHold) + HoldWeight * change);
    }
    const double tokens = found->second.tokens;
    if (place.end == PlaceEnd::Served && m_keptFor > Duration::zero()) {
        found->second.until = now + m_keptFor;
    } else {
        m_held.erase(found);
    }
    if (place.end == PlaceEnd::Rejected) {
        rejected(place, tokens, now);
    } else if (place.waiting.value_or(0) > 0) {
        waited(place, tokens, now);
    } else if (place.end == PlaceEnd::Served && m_isStarting) {
        m_learned = std::min(m_learned + 1, std::max(m_most, m_learned));
    }
}

bool PlaceBook::isShortOfMemory(int running, double tokens) const
{
    return tokens > 0 && running < m_terms.slots;
}

void PlaceBook::rejected(const PlaceReturn &place, double tokens, TimePoint now)
{
    m_rejections.push_back(now);
    const bool isFirst = now - m_rejectedAt > 2 * MaxGrowthPause;
    m_growthPause = isFirst ? FirstGrowthPause : std::min(m_growthPause * 2, MaxGrowthPause);
    m_rejectedAt = now;
    m_growAt = now + m_growthPause;
    const auto held = static_cast<int>(m_held.size());
    if (held < places() && place.running.value_or(0) >= places()) {
        m_keptFor = std::min<Duration>(m_keptFor + KeepStep, MaxKept);
    }
    const int running = place.running.value_or(held);
    if (isShortOfMemory(running, tokens)) {
        // The request would not have fitted beside those that run.
        const double tooMuch = memoryHeld() + tokens;
        m_memory = std::max(tokens, std::min(m_memory.value_or(tooMuch), tooMuch - 1));
        m_isStarting = false;
    } else {
        learn(running > 0 ? running : held);
    }
}

void PlaceBook::learn(int running)
{
    // The first time shows what the engine runs, later ones may be old news of more.
    const int most = m_isStarting ? m_most : m_learned;
    m_learned = std::clamp(running, 1, std::max(most, 1));
    m_isStarting = false;
}

void PlaceBook::waited(const PlaceReturn &place, double tokens, TimePoint now)
{
    const int running = place.running.value_or(0);
    const int waiting = place.waiting.value_or(0);
    if (running <= 0) {
        return;
    }
    m_growAt = std::max(m_growAt, now + GrowthInterval);
    if (isShortOfMemory(running, tokens)) {
        const double part = static_cast<double>(running) / (running + waiting);
        const double fits = (memoryHeld() + tokens) * part;
        m_memory = std::max(tokens, std::min(m_memory.value_or(fits), fits));
        m_isStarting = false;
    } else {
        learn(running);
    }
}

void PlaceBook::nodeTold(std::uint64_t node, int inFlight, TimePoint now)
{
    std::vector<Key> settled;
    for (const auto &[key, held] : m_held) {
        if (key.first == node && !held.until && now - held.since > SettledAfter) {
            settled.push_back(key);
        }
    }
    std::sort(settled.begin(), settled.end(),
              [this](const Key &a, const Key &b) { return m_held[a].since < m_held[b].since; });
    const std::size_t lost =
            settled.size() - std::min(settled.size(), static_cast<std::size_t>(inFlight));
    for (std::size_t i = 0; i < lost; ++i) {
        m_held.erase(settled[i]);
    }
}

void PlaceBook::nodeGone(std::uint64_t node)
{
    std::erase_if(m_held, [node](const auto &item) { return item.first.first == node; });
    std::erase_if(m_queue, [node](const Waiting &each) { return each.ask.node == node; });
}

} // namespace vanilladyke
