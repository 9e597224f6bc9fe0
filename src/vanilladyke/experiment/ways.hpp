#pragma once

#include "vanilladyke/experiment/node_policy.hpp"
#include "vanilladyke/policy/placement_policy.hpp"

#include <map>
#include <span>

/// The ways of routing that are compared. All nodes of a way share nothing, but for the oracle.
namespace vanilladyke {

/// @brief What the simple ways have in common: they decide at once and learn nothing but load.
class SimpleNode
{
public:
    SimpleNode(const Deployment &deployment, std::uint64_t seed);

    void reported(std::size_t engine, const LoadReport &load);
    void cacheChanged(std::size_t, const std::vector<CacheChange> &, bool, TimePoint) {}
    void firstToken(std::size_t index, const SimRequest &, std::size_t, TimePoint);
    void finished(std::size_t index, TimePoint);

protected:
    void send(std::size_t index, std::size_t engine, const SimRequest &request, TimePoint now);
    [[nodiscard]] std::vector<NodeDecision> &pending() { return m_pending; }
    [[nodiscard]] const Fleet &fleet() const { return m_fleet; }
    [[nodiscard]] const InFlight &inFlight() const { return m_inFlight; }
    [[nodiscard]] Random &random() { return m_random; }

public:
    void decide(TimePoint, std::vector<NodeDecision> &decisions);

private:
    Fleet m_fleet;
    Random m_random;
    InFlight m_inFlight;
    std::map<std::size_t, InFlightTicket> m_tickets;
    std::vector<NodeDecision> m_pending;
};

/// @brief Each engine in turn.
class RoundRobinNode : public SimpleNode
{
public:
    RoundRobinNode(const Deployment &deployment, std::uint64_t seed);
    void offer(std::size_t index, const SimRequest &request, TimePoint now);

private:
    std::size_t m_next;
};

/// @brief The engine with the least work by its last report and this node's own work since.
class LeastLoadedNode : public SimpleNode
{
public:
    using SimpleNode::SimpleNode;
    void offer(std::size_t index, const SimRequest &request, TimePoint now);
};

/// @brief The home of the prompt's shared prefix, whatever its load.
class PrefixHashNode : public SimpleNode
{
public:
    using SimpleNode::SimpleNode;
    void offer(std::size_t index, const SimRequest &request, TimePoint now);
};

/// @brief Knows every engine's cache and queue at the moment; greedy by the true cost.
class OracleNode : public SimpleNode
{
public:
    OracleNode(const Deployment &deployment, std::uint64_t seed,
               std::span<const EngineModel> engines);
    void offer(std::size_t index, const SimRequest &request, TimePoint now);

private:
    std::span<const EngineModel> m_engines;
    Objective m_objective;
};

/// @brief The real placement policy, as a node runs it.
class VanilladykeNode
{
public:
    VanilladykeNode(const Deployment &deployment, std::uint64_t seed);

    void offer(std::size_t index, const SimRequest &request, TimePoint now,
               const std::vector<EngineId> &excluded = {});
    /// @brief The engine that the request would go to now; none if all are excluded.
    [[nodiscard]] std::optional<Candidate> forecast(const SimRequest &request, TimePoint now,
                                                    const std::vector<EngineId> &excluded);
    [[nodiscard]] const Fleet &fleet() const { return m_fleet; }
    void decide(TimePoint now, std::vector<NodeDecision> &decisions);
    void reported(std::size_t engine, const LoadReport &load);
    void cacheChanged(std::size_t engine, const std::vector<CacheChange> &changes, bool gap,
                      TimePoint now);
    void firstToken(std::size_t index, const SimRequest &request, std::size_t cachedTokens,
                    TimePoint now);
    void finished(std::size_t index, TimePoint now);

private:
    /// What was sent to an engine will be in its cache before what is sent there next.
    void remember(const SimRequest &request, const PlacedRequest &placed, TimePoint now);

    Fleet m_fleet;
    Random m_random;
    CacheView m_view;
    PlacementPolicy m_policy;
    std::map<std::size_t, PlacedRequest> m_placed;
    std::vector<NodeDecision> m_pending;
};

} // namespace vanilladyke
