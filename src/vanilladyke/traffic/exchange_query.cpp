#include "vanilladyke/traffic/exchange.hpp"

#include "vanilladyke/model/fleet_index.hpp"

#include <algorithm>

/// The part of Exchange that describes the request to the choice of a server and to the server
/// itself.
namespace vanilladyke {

namespace {

/// Longer prompts are less urgent than short ones of the same priority: one of them takes as long
/// as many short ones.
constexpr std::uint64_t LongPromptTokens = 2048;

/// Part that determines the preferred engine: the first that ends at or after half of the shared
/// tokens. Prompts that differ only in later parts then prefer the same engine.
std::string preferredEnginePart(const std::vector<PromptPart> &parts, std::uint64_t shared)
{
    std::uint64_t reached = 0;
    for (const PromptPart &part : parts) {
        reached += part.tokens;
        if (2 * reached >= shared) {
            return part.id;
        }
    }
    return {};
}

} // namespace

BackendQuery Exchange::query() const
{
    BackendQuery result;
    result.service = m_service;
    result.model = m_request->model;
    result.minPreferredTokens = m_state.tracker.minPreferredTokens(m_service);
    result.target = m_route->targetLatency;
    result.urgency = urgency();
    result.exclude = m_triedEngines;
    result.software = m_software;
    if (isBoundToLeftServers()) {
        result.only = m_leftServers;
    }
    const bool hasStore = m_state.settings.rates.usesKeptStore && m_state.keptCache.stores() > 0;
    result.kept = hasStore ? &m_state.keptCache : nullptr;
    if (const ServiceSpec *service = m_table->service(m_service)) {
        result.memoryTokens = service->cacheTokens;
    }
    result.ownTokens = m_request->promptTokens;
    if (m_request->parts.size() > 1) {
        std::uint64_t shared = 0;
        for (std::size_t i = 0; i + 1 < m_request->parts.size(); ++i) {
            shared += m_request->parts[i].tokens;
        }
        if (m_state.settings.rates.prefersByCommonBeginning) {
            result.preferencePart = preferredEnginePart(m_request->parts, shared);
        }
        result.sharedPart = m_request->parts[m_request->parts.size() - 2].id;
        result.cacheGroup = m_table->cacheGroup(m_customer);
        result.sharedTokens = shared;
        result.ownTokens -= std::min(result.ownTokens, shared);
    }
    return result;
}

int Exchange::urgency() const
{
    int rank = m_route->priority;
    if (m_customer != nullptr && m_customer->priority) {
        rank = *m_customer->priority;
    }
    const bool isLong = m_request->promptTokens > LongPromptTokens;
    return std::clamp(1 + 2 * rank + (isLong ? 1 : 0), 0, PrefillBacklog::Urgencies - 1);
}

std::optional<TimePoint> Exchange::retryTimeIfTooLate(const BackendChoice &choice,
                                                      TimePoint now) const
{
    if (m_request->model.empty() || m_headWritten || m_sends > 0) {
        return std::nullopt;
    }
    const double most = m_state.settings.rates.maxWaitFraction;
    return refusedUntil({m_route->targetLatency, m_deadline, most}, choice.wait, now);
}

BackendRequestOptions Exchange::optionsFor(const BackendChoice &choice) const
{
    BackendRequestOptions options;
    options.deadline = m_deadline;
    options.expectedEngine = choice.backend.id;
    options.weights = choice.weights;
    if (m_customer != nullptr) {
        options.customer = m_customer->id;
    }
    options.urgency = urgency();
    options.resumeAfter = m_resumeAfter;
    if (m_request->parts.empty()) {
        return options;
    }
    if (choice.weights == 0) {
        // Cached work is valid for one version of the weights only. The version is unknown here, so
        // the salt is unique and nothing is shared.
        options.cacheSalt = "alone-" + m_request->id;
        return options;
    }
    options.cacheSalt =
            cacheSalt(m_request->model, choice.weights, m_table->cacheGroup(m_customer));
    options.fetchFrom = choice.fetchFrom;
    // Set only if the store lacks the shared part. Saving the request's own part as well would
    // evict shared parts.
    options.saveTo = choice.saveTo;
    return options;
}

std::uint64_t Exchange::customerHash() const
{
    return m_customer == nullptr ? 0 : hashOfName(m_customer->id.str());
}

std::optional<WorkDigest> Exchange::digest() const
{
    if (!m_state.digester.isReady()) {
        return std::nullopt;
    }
    const std::string_view customer =
            m_customer == nullptr ? std::string_view() : std::string_view(m_customer->id.str());
    return m_state.digester.digest(
            {customer, m_request->method, m_request->host, m_request->target, m_request->body});
}

const std::vector<WorkDigest> &Exchange::partDigests() const
{
    static const std::vector<WorkDigest> none;
    if (!m_state.digester.isReady() || m_request->parts.size() < 2) {
        return none;
    }
    if (!m_partDigests) {
        m_partDigests.emplace();
        const bool isIsolated = m_customer != nullptr && m_customer->isIsolated;
        const std::string_view customer =
                isIsolated ? std::string_view(m_customer->id.str()) : std::string_view();
        // The last part is the request's own.
        for (std::size_t i = 0; i + 1 < m_request->parts.size(); ++i) {
            m_partDigests->push_back(m_state.digester.digest(
                    {customer, "part", m_request->model.str(), m_request->parts[i].id, ""}));
        }
    }
    return *m_partDigests;
}

} // namespace vanilladyke
