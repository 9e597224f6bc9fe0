#include "vanilladyke/policy/request_quarantine.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Interval between searches for expired requests.
constexpr Duration PruneInterval = std::chrono::seconds(10);
/// An answer to a part is told to other nodes if it is later by more than this than the one that
/// they know.
constexpr Duration AnswerNewsMargin = std::chrono::milliseconds(500);

} // namespace

bool RequestQuarantine::hasEnoughEvidence(const WorkDigest &digest, const Request &request) const
{
    if (request.isPart) {
        return m_culprits.contains(digest);
    }
    int justBegun = 0;
    std::size_t ends = 0;
    for (const EngineTermination &end : request.ends) {
        if (!m_attributed.contains(end.engine)) {
            ++ends;
            justBegun += end.hadJustBegun ? 1 : 0;
        }
    }
    return justBegun >= EarlyTerminationsToHold || ends >= TerminationsToHold;
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
    if (!hasEnoughEvidence(digest, request) || isExempted(digest)) {
        return std::nullopt;
    }
    constexpr std::uint64_t Steps = 1024;
    const auto step = static_cast<Duration::rep>(mixBits(m_self ^ digest.low) % Steps);
    const bool isSuspectOnly = request.isPart && !isCulprit(digest);
    const Duration hold = isSuspectOnly ? SuspicionTime : HoldTime;
    const Duration spread = isSuspectOnly ? SuspicionTime : ReleaseSpread;
    const TimePoint until = request.ends.back().at + hold + spread / Steps * step;
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
    if (request.ends.size() > (request.isPart ? MaxPartTerminations : MaxTerminations)) {
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
                                                          std::uint64_t customer, bool isPart,
                                                          TimePoint now)
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
    request.isPart = isPart;
    m_parts += isPart ? 1 : 0;
    const auto answered = isPart ? m_answeredParts.find(digest) : m_answeredParts.end();
    if (answered != m_answeredParts.end()) {
        request.answeredAt = answered->second;
    }
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
    const auto isEvictedBefore = [this](const auto &a, const auto &b) {
        const bool aIsQuarantined = hasEnoughEvidence(a.first, a.second);
        return aIsQuarantined != hasEnoughEvidence(b.first, b.second)
                       ? !aIsQuarantined
                       : a.second.changedAt < b.second.changedAt;
    };
    auto first = m_requests.end();
    for (auto each = m_requests.begin(); each != m_requests.end(); ++each) {
        const bool isEvictable = !isCustomerFull || each->second.customer == customer;
        if (isEvictable && (first == m_requests.end() || isEvictedBefore(*each, *first))) {
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
    m_parts -= request->second.isPart ? 1 : 0;
    m_culprits.erase(request->first);
    m_requests.erase(request);
}

void RequestQuarantine::pruneExpired(TimePoint now)
{
    if (now - m_prunedAt < PruneInterval) {
        return;
    }
    m_prunedAt = now;
    const std::size_t partsBefore = m_parts;
    for (auto each = m_requests.begin(); each != m_requests.end();) {
        const auto next = std::next(each);
        if (now - each->second.changedAt > RetentionTime) {
            erase(each);
        }
        each = next;
    }
    if (m_parts != partsBefore) {
        attributeEnds();
    }
    m_terminatedEngines.clear();
    for (const auto &[digest, request] : m_requests) {
        for (const EngineTermination &end : request.ends) {
            m_terminatedEngines.insert(end.engine);
        }
    }
}

bool RequestQuarantine::record(const WorkDigest &digest, std::uint64_t customer,
                               const EngineTermination &end, bool isPart)
{
    Request &request = requestFor(digest, customer, isPart, end.at);
    const bool wasHeld = heldUntil(digest, request, end.at).has_value();
    if (add(request, end)) {
        request.sendsLeft = Repeats;
        m_hasUpdates = true;
        if (isPart) {
            attributeEnds();
        }
    }
    return !wasHeld && heldUntil(digest, request, end.at).has_value();
}

bool RequestQuarantine::recordTermination(const WorkDigest &digest, std::uint64_t customer,
                                          const EngineTermination &end)
{
    return record(digest, customer, end, false);
}

bool RequestQuarantine::recordPartTermination(const WorkDigest &part, std::uint64_t customer,
                                              const EngineTermination &end)
{
    return record(part, customer, end, true);
}

void RequestQuarantine::attributeEnds()
{
    std::vector<SuspectPart> suspects;
    for (const auto &[digest, request] : m_requests) {
        if (request.isPart && request.ends.size() >= EndsToSuspectPart && !isExempted(digest)) {
            const bool wasAnswered =
                    request.answeredAt
                    && request.ends.front().at - *request.answeredAt < AnswerMemory;
            suspects.push_back({digest, request.ends, wasAnswered});
        }
    }
    m_culprits.clear();
    m_attributed.clear();
    for (const CulpritPart &each : selectCulprits(std::move(suspects))) {
        m_culprits.emplace(each.part, each);
        for (const EngineTermination &end : m_requests.at(each.part).ends) {
            m_attributed.insert(end.engine);
        }
    }
}

bool RequestQuarantine::isCulprit(const WorkDigest &part) const
{
    const auto known = m_culprits.find(part);
    return known != m_culprits.end()
           && (known->second.ends >= EndsToHoldPart || known->second.engines >= EnginesToHoldPart);
}

void RequestQuarantine::rememberAnswer(const WorkDigest &part, TimePoint now)
{
    if (now - m_forgotAt >= PruneInterval) {
        m_forgotAt = now;
        std::erase_if(m_answeredParts,
                      [now](const auto &item) { return now - item.second > AnswerMemory; });
    }
    if (m_answeredParts.size() < MaxAnsweredParts || m_answeredParts.contains(part)) {
        m_answeredParts[part] = now;
    }
}

bool RequestQuarantine::recordPartAnswer(const WorkDigest &part, TimePoint now)
{
    rememberAnswer(part, now);
    const bool wasSuspected = recordAnswer(part, now);
    if (wasSuspected) {
        attributeEnds();
    }
    return wasSuspected;
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
    bool hasChangedPart = false;
    for (auto &[digest, request] : m_requests) {
        const std::size_t erased = std::erase_if(request.ends, [&](const EngineTermination &end) {
            return end.engine == engine && now - end.at > LateAnswerTime;
        });
        hasChangedPart = hasChangedPart || (request.isPart && erased > 0);
    }
    if (hasChangedPart) {
        attributeEnds();
    }
}

void RequestQuarantine::setExempted(std::vector<WorkDigest> exempted)
{
    m_exempted = std::move(exempted);
}

void RequestQuarantine::apply(const QuarantineUpdate &update, TimePoint now)
{
    Request &request = requestFor(update.digest, update.customer, update.isPart, now);
    if (update.answeredAge) {
        discardEvidence(request, now - *update.answeredAge);
    }
    for (const QuarantineUpdate::End &end : update.ends) {
        EngineTermination termination{end.engine, now - end.age, end.hadJustBegun, end.request,
                                      std::nullopt};
        if (end.sentAge) {
            termination.sentAt = now - *end.sentAge;
        }
        add(request, termination);
    }
    const auto answered = m_answeredParts.find(update.digest);
    const bool knowsLaterAnswer =
            update.isPart && answered != m_answeredParts.end()
            && (!update.answeredAge
                || now - answered->second + AnswerNewsMargin < *update.answeredAge);
    if (knowsLaterAnswer) { // the node that told of the ends has not seen the part answered
        discardEvidence(request, answered->second);
        request.sendsLeft = Repeats;
        m_hasUpdates = true;
    }
}

std::vector<WorkDigest>
RequestQuarantine::applyUpdates(const std::vector<QuarantineUpdate> &updates, TimePoint now)
{
    std::vector<WorkDigest> newlyHeld;
    for (const QuarantineUpdate &each : updates) {
        if (!heldUntil(each.digest, now)) {
            newlyHeld.push_back(each.digest);
        }
        apply(each, now);
    }
    if (m_parts > 0) {
        attributeEnds();
    }
    std::erase_if(newlyHeld, [&](const WorkDigest &each) { return !heldUntil(each, now); });
    return newlyHeld;
}

QuarantineUpdate RequestQuarantine::updateOf(const WorkDigest &digest, const Request &request,
                                             TimePoint now)
{
    QuarantineUpdate update{digest, request.customer, std::nullopt, {}, request.isPart};
    if (request.answeredAt) {
        update.answeredAge = now - *request.answeredAt;
    }
    for (const EngineTermination &end : request.ends) {
        update.ends.push_back(
                {end.engine, now - end.at, end.hadJustBegun, end.request, std::nullopt});
        if (end.sentAt) {
            update.ends.back().sentAge = now - *end.sentAt;
        }
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
    const auto isWorthRefreshing = [&](const auto &item) {
        return hasEnoughEvidence(item.first, item.second)
               || now - item.second.changedAt < RefreshTime;
    };
    const auto refreshable = static_cast<double>(
            std::count_if(m_requests.begin(), m_requests.end(),
                          [&](const auto &each) { return isWorthRefreshing(each); }));
    const double share =
            RefreshPerSecond * since / static_cast<double>(std::max<std::size_t>(nodes, 1));
    const double chance = refreshable > 0 ? share / refreshable : 0;
    std::vector<Requests::value_type *> chosen;
    for (auto &each : m_requests) {
        const bool isNew = each.second.sendsLeft > 0;
        if (isNew || (isWorthRefreshing(each) && uniform(random) < chance)) {
            chosen.push_back(&each);
        }
    }
    if (chosen.size() > most) {
        // One end makes dozens of suspects; what has the most ends is told first.
        std::partial_sort(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(most),
                          chosen.end(), [](const auto *a, const auto *b) {
                              return a->second.ends.size() > b->second.ends.size();
                          });
        chosen.resize(most);
        m_hasUpdates = true;
    }
    std::vector<QuarantineUpdate> updates;
    for (Requests::value_type *const each : chosen) {
        updates.push_back(updateOf(each->first, each->second, now));
        each->second.sendsLeft = std::max(0, each->second.sendsLeft - 1);
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
