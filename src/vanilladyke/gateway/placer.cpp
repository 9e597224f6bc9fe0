#include "vanilladyke/gateway/placer.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/foreign_json.hpp"
#include "vanilladyke/policy/explain.hpp"

namespace vanilladyke {

namespace {

void logPlacement(const RequestContext &context, const Fleet &fleet, const Placement &placement)
{
    LogEvent event("placement");
    event.field("request", context.id.str())
            .field("customer", context.customer.str())
            .field("model", context.model.str());
    for (const ExplainField &field : explainFields(context.promptTokens, fleet, placement)) {
        event.field(field.key, field.value);
    }
}

PlacementRequest requestOf(const RequestContext &context, const std::vector<EngineId> &excluded)
{
    return {context.customer,
            context.model,
            context.chain,
            context.promptTokens,
            context.answerTokens,
            context.firstTokenDeadline,
            excluded};
}

} // namespace

AttemptWork::~AttemptWork()
{
    const std::lock_guard lock(m_placer.m_mutex);
    m_placer.m_policy.finished(m_placed, MonotonicClock::now());
}

void AttemptWork::recordFirstToken()
{
    if (m_firstTokenSeen) {
        return;
    }
    m_firstTokenSeen = true;
    const std::lock_guard lock(m_placer.m_mutex);
    m_placer.m_policy.firstToken(m_placed, MonotonicClock::now());
}

void AttemptWork::recordCachedTokens(std::uint32_t tokens)
{
    const std::lock_guard lock(m_placer.m_mutex);
    m_placer.m_policy.learn(m_placed, tokens);
}

std::optional<Candidate> Placer::forecast(const RequestContext &context, const Fleet &fleet,
                                          const std::vector<EngineId> &excluded,
                                          Random &random) const
{
    const TimePoint now = MonotonicClock::now();
    const std::vector<PrefixHolder> holders = m_view.holders(context.chain, now);
    const std::lock_guard lock(m_mutex);
    return m_policy.forecast(requestOf(context, excluded), fleet, holders, {}, now, random).winner;
}

std::optional<PlacedAttempt> Placer::placeAttempt(const RequestContext &context, const Fleet &fleet,
                                                  const std::vector<EngineId> &excluded,
                                                  Random &random)
{
    const TimePoint now = MonotonicClock::now();
    const PlacementRequest request = requestOf(context, excluded);
    const std::vector<PrefixHolder> holders = m_view.holders(request.chain, now);
    Placement placement;
    PlacedRequest placed;
    {
        const std::lock_guard lock(m_mutex);
        placement = m_policy.decide(request, fleet, holders, {}, now, random);
        if (placement.winner) {
            placed = m_policy.sent(request, fleet, placement, now);
        }
    }
    logPlacement(context, fleet, placement);
    if (!placement.winner) {
        return std::nullopt;
    }
    m_inbox.post(PrefixSent{placed.engine, placed.incarnation,
                            std::make_shared<const PrefixChain>(context.chain)});
    const Candidate &winner = *placement.winner;
    return PlacedAttempt{fleet.engines[winner.engine], winner.wait + winner.prefill,
                         std::make_unique<AttemptWork>(*this, std::move(placed))};
}

std::optional<std::uint32_t> cachedTokensIn(const std::string &frame)
{
    // Parsing every frame as JSON would cost more than all other processing of it.
    if (frame.find("\"cached_tokens\"") == std::string::npos) {
        return std::nullopt;
    }
    try {
        const nlohmann::json chunk = parseForeignJson(frame);
        return chunk.at("usage").at("prompt_tokens_details").at("cached_tokens");
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace vanilladyke
