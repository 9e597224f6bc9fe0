#pragma once

#include "vanilladyke/experiment/ways.hpp"
#include "vanilladyke/policy/admission.hpp"
#include "vanilladyke/policy/slot_share.hpp"

#include <map>
#include <vector>

namespace vanilladyke {

/// @brief The real policies together, as a node runs them: admission and queue before placement,
/// this node's share of each engine's slots. Nodes hear nothing of each other.
class AdmittingNode
{
public:
    AdmittingNode(const Deployment &deployment, std::uint64_t seed);

    void offer(std::size_t index, const SimRequest &request, TimePoint now);
    void decide(TimePoint now, std::vector<NodeDecision> &decisions);
    void reported(std::size_t engine, const LoadReport &load);
    void cacheChanged(std::size_t engine, const std::vector<CacheChange> &changes, bool gap,
                      TimePoint now);
    void firstToken(std::size_t index, const SimRequest &request, std::size_t cachedTokens,
                    TimePoint now);
    void finished(std::size_t index, TimePoint now);

private:
    struct Known
    {
        SimRequest request;
        Duration predictedFirstToken{};
        TimePoint startedAt;
        std::size_t engine = 0;
    };

    [[nodiscard]] AdmissionRequest admissionOf(std::size_t index, const SimRequest &request,
                                               const Candidate &best) const;
    [[nodiscard]] std::vector<EngineId> fullEngines() const;
    void start(std::size_t index, TimePoint now);
    void refuse(const std::vector<RefusedJob> &jobs);

    std::vector<double> m_weights;
    VanilladykeNode m_node;
    Admission m_admission;
    std::size_t m_rank;
    std::vector<SlotShare> m_shares;       ///< by engine
    std::vector<std::uint32_t> m_underWay; ///< by engine
    std::map<std::size_t, Known> m_known;
    std::vector<NodeDecision> m_decided;
};

} // namespace vanilladyke
