#include "vanilladyke/policy/request_quarantine.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Interval between searches for expired requests.
constexpr Duration PruneInterval = std::chrono::seconds(10);

} // namespace

bool RequestQuarantine::hasEnoughEvidence(const Request &request)
{
    const auto justBegun =
            std::count_if(request.ends.begin(), request.ends.end(),
                          [](const EngineTermination &end) { return end.hadJustBegun; });
    return justBegun >= EarlyTerminationsToHold || request.ends.size() >= TerminationsToHold;
}

bool RequestQuarantine::isExempted(const WorkDigest &digest) const
{
    return std::find(m_exempted.begin(), m_exempted.end(), digest) != m_exempted.end();
}

std::optional<TimePoint> RequestQuarantine::heldUntil(const WorkDigest &digest, TimePoint now) const
{
    const auto known = m_requests.find(digest);
    return known == m_requests.end() ? std::nullopt : heldUntil(digest, known->second, now);
}

std::optional<TimePoint> RequestQuarantine::heldUntil(const WorkDigest &digest,
                                                      const Request &request, TimePoint now) const
{
    if (!hasEnoughEvidence(request) || isExempted(digest)) {
        return std::nullopt;
    }
    constexpr std::uint64_t Steps = 1024;
    const auto step = static_cast<Duration::rep>(mixBits(m_self ^ digest.low) % Steps);
    const TimePoint until = request.ends.back().at + HoldTime + ReleaseSpread / Steps * step;
    return now < until ? std::optional(until) : std::nullopt;
}

bool RequestQuarantine::add(Request &request, const EngineTermination &end)
{
    if (request.answeredAt && end.at <= *request.answeredAt) {
        return false;
    }
    const bool isKnown = std::any_of(
            request.ends.begin(), request.ends.end(),
            [&end](const EngineTermination &each) { return each.engine == end.engine; });
    if (isKnown) {
        return false;
    }
    const auto after =
            std::find_if(request.ends.begin(), request.ends.end(),
                         [&end](const EngineTermination &each) { return end.at < each.at; });
    request.ends.insert(after, end);
    if (request.ends.size() > MaxTerminations) {
        request.ends.erase(request.ends.begin());
    }
    request.changedAt = std::max(request.changedAt, end.at);
    m_terminatedEngines.insert(end.engine);
    return true;
}

void RequestQuarantine::discardEvidence(Request &request, TimePoint answeredAt)
{
    if (request.answeredAt && answeredAt <= *request.answeredAt) {
        return;
    }
    request.answeredAt = answeredAt;
    request.changedAt = std::max(request.changedAt, answeredAt);
    std::erase_if(request.ends, [&](const EngineTermination &end) { return end.at <= answeredAt; });
}

RequestQuarantine::Request &RequestQuarantine::requestFor(const WorkDigest &digest,
                                                          std::uint64_t customer, TimePoint now)
{
    const auto known = m_requests.find(digest);
    if (known != m_requests.end()) {
        return known->second;
    }
    evictIfFull(customer, now);
    ++m_byCustomer[customer];
    Request &request = m_requests[digest];
    request.customer = customer;
    request.changedAt = now;
    return request;
}

void RequestQuarantine::evictIfFull(std::uint64_t customer, TimePoint now)
{
    pruneExpired(now);
    const auto count = m_byCustomer.find(customer);
    const bool isCustomerFull =
            count != m_byCustomer.end() && count->second >= MaxRequestsPerCustomer;
    if (!isCustomerFull && m_requests.size() < MaxRequests) {
        return;
    }
    // Quarantined requests are evicted last: each of them is known to terminate engines.
    const auto isEvictedBefore = [](const Request &a, const Request &b) {
        const bool aIsQuarantined = hasEnoughEvidence(a);
        return aIsQuarantined != hasEnoughEvidence(b) ? !aIsQuarantined : a.changedAt < b.changedAt;
    };
    auto first = m_requests.end();
    for (auto each = m_requests.begin(); each != m_requests.end(); ++each) {
        const bool isEvictable = !isCustomerFull || each->second.customer == customer;
        if (isEvictable
            && (first == m_requests.end() || isEvictedBefore(each->second, first->second))) {
            first = each;
        }
    }
    erase(first);
}

void RequestQuarantine::erase(Requests::iterator request)
{
    const auto count = m_byCustomer.find(request->second.customer);
    if (--count->second == 0) {
        m_byCustomer.erase(count);
    }
    m_requests.erase(request);
}

void RequestQuarantine::pruneExpired(TimePoint now)
{
    if (now - m_prunedAt < PruneInterval) {
        return;
    }
    m_prunedAt = now;
    for (auto each = m_requests.begin(); each != m_requests.end();) {
        const auto next = std::next(each);
        if (now - each->second.changedAt > RetentionTime) {
            erase(each);
        }
        each = next;
    }
    m_terminatedEngines.clear();
    for (const auto &[digest, request] : m_requests) {
        for (const EngineTermination &end : request.ends) {
            m_terminatedEngines.insert(end.engine);
        }
    }
}

bool RequestQuarantine::recordTermination(const WorkDigest &digest, std::uint64_t customer,
                                          const EngineTermination &end)
{
    Request &request = requestFor(digest, customer, end.at);
    const bool wasHeld = heldUntil(digest, request, end.at).has_value();
    if (add(request, end)) {
        request.sendsLeft = Repeats;
        m_hasUpdates = true;
    }
    return !wasHeld && heldUntil(digest, request, end.at).has_value();
}

bool RequestQuarantine::recordAnswer(const WorkDigest &digest, TimePoint now)
{
    const auto known = m_requests.find(digest);
    if (known == m_requests.end() || known->second.ends.empty()) {
        return false;
    }
    discardEvidence(known->second, now);
    known->second.sendsLeft = Repeats;
    m_hasUpdates = true;
    return true;
}

void RequestQuarantine::recordEngineAnswer(std::uint64_t engine, TimePoint now)
{
    if (!m_terminatedEngines.contains(engine)) {
        return;
    }
    for (auto &[digest, request] : m_requests) {
        std::erase_if(request.ends, [&](const EngineTermination &end) {
            return end.engine == engine && now - end.at > LateAnswerTime;
        });
    }
}

void RequestQuarantine::setExempted(std::vector<WorkDigest> exempted)
{
    m_exempted = std::move(exempted);
}

std::vector<WorkDigest>
RequestQuarantine::applyUpdates(const std::vector<QuarantineUpdate> &updates, TimePoint now)
{
    std::vector<WorkDigest> newlyHeld;
    for (const QuarantineUpdate &each : updates) {
        Request &request = requestFor(each.digest, each.customer, now);
        const bool wasHeld = heldUntil(each.digest, request, now).has_value();
        if (each.answeredAge) {
            discardEvidence(request, now - *each.answeredAge);
        }
        for (const QuarantineUpdate::End &end : each.ends) {
            add(request, {end.engine, now - end.age, end.hadJustBegun});
        }
        if (!wasHeld && heldUntil(each.digest, request, now)) {
            newlyHeld.push_back(each.digest);
        }
    }
    return newlyHeld;
}

QuarantineUpdate RequestQuarantine::updateOf(const WorkDigest &digest, const Request &request,
                                             TimePoint now)
{
    QuarantineUpdate update{digest, request.customer, std::nullopt, {}};
    if (request.answeredAt) {
        update.answeredAge = now - *request.answeredAt;
    }
    for (const EngineTermination &end : request.ends) {
        update.ends.push_back({end.engine, now - end.at, end.hadJustBegun});
    }
    return update;
}

std::vector<QuarantineUpdate> RequestQuarantine::collectUpdates(std::size_t nodes, std::size_t most,
                                                                TimePoint now, Random &random)
{
    pruneExpired(now);
    const double since = m_sentAt ? secondsOf(now - *m_sentAt) : 0;
    m_sentAt = now;
    m_hasUpdates = false;
    if (m_requests.empty()) {
        return {};
    }
    const auto isWorthRefreshing = [now](const Request &request) {
        return hasEnoughEvidence(request) || now - request.changedAt < RefreshTime;
    };
    const auto refreshable = static_cast<double>(
            std::count_if(m_requests.begin(), m_requests.end(),
                          [&](const auto &each) { return isWorthRefreshing(each.second); }));
    const double share =
            RefreshPerSecond * since / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double chance = refreshable > 0 ? share / refreshable : 0;
    std::vector<QuarantineUpdate> updates;
    for (auto &[digest, request] : m_requests) {
        if (updates.size() >= most) {
            m_hasUpdates = true;
            break;
        }
        const bool isNew = request.sendsLeft > 0;
        if (isNew || (isWorthRefreshing(request) && uniform(random) < chance)) {
            updates.push_back(updateOf(digest, request, now));
            request.sendsLeft = std::max(0, request.sendsLeft - 1);
        }
    }
    return updates;
}

std::size_t RequestQuarantine::held(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(m_requests.begin(), m_requests.end(), [&](const auto &each) {
                return heldUntil(each.first, each.second, now).has_value();
            }));
}

std::size_t RequestQuarantine::terminationsUnder(const WorkDigest &digest) const
{
    const auto known = m_requests.find(digest);
    return known == m_requests.end() ? 0 : known->second.ends.size();
}

} // namespace vanilladyke
