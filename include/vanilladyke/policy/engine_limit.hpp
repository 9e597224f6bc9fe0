#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

/// How many requests all nodes together may send to an engine that names a limit.
///
/// Load pattern: an engine in need says how many requests a second it takes, a few, from hundreds
/// of nodes that each hear it with answers of their own. Were each to take it for its own share,
/// the engine would get hundreds of times too many; were it divided evenly, the nodes whose
/// callers need the engine would wait while the others waste their parts.
///
/// All nodes therefore draw on one bucket, of which each keeps its own copy: it fills at the limit,
/// and sends of this node and, as they are told, of all others empty it. Two nodes that take the
/// same token before they hear of each other make a debt that both pay before the next one, so that
/// the sum holds over seconds. Where many compete for each token the debt is large: each node then
/// takes one by a chance that falls with the debts that it sees and rises with tokens that nobody
/// took. What is told is a count that only grows: a datagram that is lost is made up for by the
/// next.
///
/// The limit lasts as long as the engine's answers name it. The newest answer that any node got
/// decides; nodes tell only what their own answers said, so that an old word dies out. An engine
/// that began anew has another id and none of this.
namespace vanilladyke {

/// @brief What one node tells others of an engine's limit.
struct LimitNews
{
    std::uint64_t backend = 0;       ///< hash of the engine's id
    bool isObserved = false;         ///< an answer that this node got said what follows
    std::optional<double> perSecond; ///< none: the engine named no limit any more
    Duration age{};                  ///< of that answer
    std::uint32_t sent = 0;          ///< requests of this node since it knew of the limit
};

/// @brief One node's view of one engine's limit. Pure.
class EngineLimit
{
public:
    /// Also an engine that takes nothing has to be asked now and then whether that still holds.
    static constexpr double LeastPerSecond = 0.25;
    /// An answer that the engine wrote before it named a limit may be read after one that does.
    static constexpr Duration LiftMargin = std::chrono::milliseconds(250);
    /// How long a node tells of a limit that is over.
    static constexpr Duration TellLiftFor = std::chrono::seconds(5);

    /// @brief An answer that this node got named the limit, or none.
    /// @return whether the limit is another than before
    bool observed(std::optional<double> perSecond, TimePoint now);
    /// @brief Another node's word. @return whether the limit is another than before
    bool heard(std::uint64_t node, const LimitNews &news, TimePoint now);
    /// @brief A request of this node goes out to the engine.
    void sent(TimePoint now);

    [[nodiscard]] std::optional<double> perSecond() const { return m_perSecond; }
    /// @brief Whether a request may go there now. @param draw in [0, 1), for this request
    [[nodiscard]] bool allows(double draw, TimePoint now) const;
    /// @brief How much of what may be saved up is used, in [0, 1].
    [[nodiscard]] double scarcity(TimePoint now) const;
    /// @brief When one may go there next.
    [[nodiscard]] TimePoint opensAt(TimePoint now) const;
    /// @return none if there is nothing to tell
    [[nodiscard]] std::optional<LimitNews> toTell(TimePoint now) const;

private:
    /// Of the bucket, in requests: LeastBurst, or what half a second allows.
    static constexpr double LeastBurst = 2;
    static constexpr double BurstSeconds = 0.5;
    /// A debt is paid within this time at most, so that a wrong count closes no engine.
    static constexpr double MostDebtSeconds = 2;
    static constexpr double MostCompetitors = 64;

    struct Observation
    {
        std::optional<double> perSecond;
        TimePoint at;
    };

    [[nodiscard]] double rate() const;
    [[nodiscard]] double burst() const;
    [[nodiscard]] double levelAt(TimePoint now) const;
    [[nodiscard]] double competitorsAt(TimePoint now) const;
    bool believe(const Observation &observation, TimePoint now);
    void take(double count, TimePoint now);

    std::optional<double> m_perSecond;
    TimePoint m_observedAt; ///< the answer that decided, whoever got it
    std::optional<Observation> m_own;
    double m_level = 0;       ///< requests that may go now; below zero: sent too many
    double m_competitors = 1; ///< nodes that would take one token before they hear of each other
    TimePoint m_levelAt;
    std::uint32_t m_sent = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> m_othersSent;
};

} // namespace vanilladyke
