#include "vanilladyke/experiment/admitting_node.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::size_t QueueCapacity = 256;

QueueTicket ticketOf(std::size_t index)
{
    return QueueTicket{index};
}

std::size_t indexOf(QueueTicket ticket)
{
    return static_cast<std::size_t>(ticket);
}

} // namespace

AdmittingNode::AdmittingNode(const Deployment &deployment, std::uint64_t seed)
    : m_weights(deployment.customerWeights)
    , m_node(deployment, seed)
    , m_admission(QueueCapacity)
    , m_rank(seed % deployment.nodes) // seeds of the nodes of a run follow each other
    , m_shares(deployment.engines)
    , m_underWay(deployment.engines)
{}

void AdmittingNode::offer(std::size_t index, const SimRequest &request, TimePoint now)
{
    std::optional<Candidate> best = m_node.forecast(request, now, fullEngines());
    if (!best) {
        best = m_node.forecast(request, now, {});
    }
    const AdmissionRequest asked = admissionOf(index, request, *best);
    m_known[index] = {request, asked.firstToken, {}, 0};
    const AdmissionDecision decision = m_admission.decide(asked, now);
    if (decision.verdict == AdmissionVerdict::Start) {
        start(index, now);
    } else if (decision.verdict == AdmissionVerdict::Refuse) {
        m_known.erase(index);
        m_decided.push_back({index, std::nullopt});
    }
}

AdmissionRequest AdmittingNode::admissionOf(std::size_t index, const SimRequest &request,
                                            const Candidate &best) const
{
    const double decodeRate = m_node.fleet().engines[best.engine].load.decodeTokensPerSecond;
    const Duration firstToken = best.wait + best.prefill;
    return {ticketOf(index),
            request.customerId,
            m_weights.at(request.customer),
            Priority::Normal,
            firstToken + spanOfSeconds(request.answerTokens / decodeRate),
            firstToken,
            request.firstTokenDeadline,
            best.prefill};
}

std::vector<EngineId> AdmittingNode::fullEngines() const
{
    std::vector<EngineId> full;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        const std::size_t nodes = m_node.fleet().liveNodes;
        if (m_underWay[i] >= m_shares[i].usable(slotRounding(m_rank, nodes, i))) {
            full.push_back(m_node.fleet().engines[i].id);
        }
    }
    return full;
}

void AdmittingNode::start(std::size_t index, TimePoint now)
{
    Known &known = m_known.at(index);
    known.startedAt = now;
    const std::vector<EngineId> full = fullEngines();
    const bool anyOpen = full.size() < m_shares.size();
    m_node.offer(index, known.request, now, anyOpen ? full : std::vector<EngineId>{});
    std::vector<NodeDecision> placed;
    m_node.decide(now, placed);
    known.engine = *placed.front().engine;
    ++m_underWay[known.engine];
    m_decided.push_back(placed.front());
}

void AdmittingNode::decide(TimePoint now, std::vector<NodeDecision> &decisions)
{
    refuse(m_admission.expire(now));
    while (const auto job = m_admission.startNext(now)) {
        start(indexOf(job->ticket), now);
    }
    decisions.insert(decisions.end(), m_decided.begin(), m_decided.end());
    m_decided.clear();
}

void AdmittingNode::refuse(const std::vector<RefusedJob> &jobs)
{
    for (const RefusedJob &job : jobs) {
        m_known.erase(indexOf(job.job.ticket));
        m_decided.push_back({indexOf(job.job.ticket), std::nullopt});
    }
}

void AdmittingNode::reported(std::size_t engine, const LoadReport &load)
{
    m_node.reported(engine, load);
    const EngineView &view = m_node.fleet().engines[engine];
    const std::uint32_t nodes = m_node.fleet().liveNodes;
    const double own = m_underWay[engine];
    const double busy = std::max<double>(load.running + load.waiting, own);
    const bool wanting = m_admission.waiting() > 0;
    m_shares[engine].update({static_cast<double>(view.slots), busy, own, nodes,
                             estimateWaitingNodes(0, 0, wanting, nodes), wanting});
    std::uint32_t slots = 0;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        slots += m_shares[i].usable(slotRounding(m_rank, nodes, i));
    }
    refuse(m_admission.setSlots(slots, load.measuredAt));
}

void AdmittingNode::cacheChanged(std::size_t engine, const std::vector<CacheChange> &changes,
                                 bool gap, TimePoint now)
{
    m_node.cacheChanged(engine, changes, gap, now);
}

void AdmittingNode::firstToken(std::size_t index, const SimRequest &request,
                               std::size_t cachedTokens, TimePoint now)
{
    const Known &known = m_known.at(index);
    m_admission.observeFirstToken(known.predictedFirstToken, now - known.startedAt);
    m_node.firstToken(index, request, cachedTokens, now);
}

void AdmittingNode::finished(std::size_t index, TimePoint now)
{
    m_admission.release(ticketOf(index), now);
    --m_underWay[m_known.at(index).engine];
    m_known.erase(index);
    m_node.finished(index, now);
}

} // namespace vanilladyke
