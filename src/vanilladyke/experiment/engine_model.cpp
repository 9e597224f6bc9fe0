#include "vanilladyke/experiment/engine_model.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

Duration spanOf(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::uint32_t BlockCache::cachedTokens(const PrefixChain &chain) const
{
    std::uint32_t tokens = 0;
    for (const PrefixCut &cut : chain) {
        if (!m_blocks.contains(cut.hash)) {
            break;
        }
        tokens = cut.tokens;
    }
    return tokens;
}

void BlockCache::use(const PrefixChain &chain, std::vector<CacheChange> &changes)
{
    // Deepest first, so that the shallow blocks end up as the most recently used: an engine gives
    // up the ends of prefixes before their beginnings.
    for (std::size_t i = chain.size(); i-- > 0;) {
        const ChainHash &hash = chain[i].hash;
        const auto found = m_blocks.find(hash);
        if (found != m_blocks.end()) {
            m_order.splice(m_order.begin(), m_order, found->second.place);
            continue;
        }
        const std::uint32_t before = i == 0 ? 0 : chain[i - 1].tokens;
        m_order.push_front(hash);
        m_blocks.emplace(hash, Block{chain[i].tokens - before, m_order.begin()});
        m_used += chain[i].tokens - before;
        changes.push_back({true, hash});
    }
    while (m_used > m_capacity && !m_order.empty()) {
        const auto oldest = m_blocks.find(m_order.back());
        m_used -= oldest->second.tokens;
        changes.push_back({false, oldest->first});
        m_blocks.erase(oldest);
        m_order.pop_back();
    }
}

void EngineModel::submit(std::size_t index, const SimRequest &request, TimePoint now,
                         std::vector<EngineStep> &next)
{
    m_waiting.push_back({index, &request});
    startWhatFits(now, next);
}

void EngineModel::happened(const EngineStep &step, TimePoint now, std::vector<EngineStep> &next)
{
    if (step.kind == EngineStep::Kind::Finished) {
        --m_running;
    } else {
        const Job job = m_prefill.front();
        m_prefill.pop_front();
        m_computing = false;
        m_cache.use(job.request->chain, m_changes);
        const double decode = job.request->answerTokens / (m_spec.decodeTokensPerSecond * m_speed);
        next.push_back({now + spanOf(decode), EngineStep::Kind::Finished, job.index, 0});
    }
    startWhatFits(now, next);
}

void EngineModel::startWhatFits(TimePoint now, std::vector<EngineStep> &next)
{
    while (!m_waiting.empty() && m_running < m_spec.slots) {
        m_prefill.push_back(m_waiting.front());
        m_waiting.pop_front();
        ++m_running;
    }
    if (m_computing || m_prefill.empty()) {
        return;
    }
    const SimRequest &request = *m_prefill.front().request;
    m_computing = true;
    m_foundTokens = std::min(m_cache.cachedTokens(request.chain), request.promptTokens - 1);
    m_currentMissing = request.promptTokens - m_foundTokens;
    const double length =
            static_cast<double>(m_currentMissing) / (m_spec.prefillTokensPerSecond * m_speed);
    next.push_back({now + spanOf(length), EngineStep::Kind::FirstToken, m_prefill.front().index,
                    m_foundTokens});
}

LoadReport EngineModel::load(TimePoint now) const
{
    LoadReport load;
    load.measuredAt = now;
    load.running = m_running;
    load.waiting = static_cast<std::uint32_t>(m_waiting.size());
    load.prefillTokensPerSecond = m_spec.prefillTokensPerSecond * m_speed;
    load.decodeTokensPerSecond = m_spec.decodeTokensPerSecond * m_speed;
    const auto missing = [&](const Job &job) {
        return job.request->promptTokens - m_cache.cachedTokens(job.request->chain);
    };
    for (std::size_t i = 0; i < m_prefill.size(); ++i) {
        load.queuedPrefillTokens += i == 0 ? m_currentMissing : missing(m_prefill[i]);
    }
    for (const Job &job : m_waiting) {
        load.queuedPrefillTokens += missing(job);
    }
    return load;
}

std::vector<CacheChange> EngineModel::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace vanilladyke
