#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <optional>
#include <unordered_map>

/// Enforces a rate limit that an engine sets for all nodes together.
///
/// Load pattern: an overloaded engine announces that it takes a few requests a second, to hundreds
/// of nodes, each of which receives the limit with its own answers. If each node took it as its own
/// limit, the engine would get hundreds of times too many requests. If it were divided evenly,
/// nodes whose callers need the engine would wait while others leave their share unused.
///
/// All nodes therefore share one token bucket, of which each keeps a copy. It fills at the limit,
/// and is emptied by the requests of this node and, as updates arrive, of all others. Two nodes
/// that take the same token before they receive each other's update leave a debt that both have to
/// refill before the next token, so that the sum holds over seconds. With many competing nodes this
/// debt is large: each node then takes a token only with a probability that falls with the observed
/// debts and rises with tokens left unused. Updates carry a cumulative count: a lost datagram is
/// made up for by the next.
///
/// The limit holds as long as the engine's answers carry it. The most recent answer at any node
/// decides. Nodes report only what their own answers carried, so that outdated limits are not
/// passed on forever. A restarted engine has a new id and no limit.
namespace vanilladyke {

/// @brief Limit update: what one node sends to others about an engine's limit.
struct LimitUpdate
{
    std::uint64_t backend = 0;       ///< hash of the engine's id
    bool isObserved = false;         ///< an answer to this node carried the following values
    std::optional<double> perSecond; ///< none: the engine has lifted its limit
    Duration age{};                  ///< of that answer
    std::uint32_t sent = 0;          ///< requests of this node since it received the limit
};

/// @brief The view that one node has of the limit of one engine. Pure.
class EngineLimit
{
public:
    /// An engine with a limit of zero still gets a request now and then, because only an answer
    /// shows the end of the limit.
    static constexpr double MinPerSecond = 0.25;
    /// A change to "no limit" has to be this much newer than the answer with the limit: answers may
    /// be read out of order.
    static constexpr Duration LiftMargin = std::chrono::milliseconds(250);
    /// How long a node reports the end of a limit.
    static constexpr Duration ReportLiftFor = std::chrono::seconds(5);

    /// @brief Records the limit that an answer to this node carried, or none.
    /// @return whether the limit changed
    bool observed(std::optional<double> perSecond, TimePoint now);
    /// @brief Applies the update of another node. @return whether the limit changed
    bool received(std::uint64_t node, const LimitUpdate &update, TimePoint now);
    /// @brief Records that this node sent a request to the engine.
    void sent(TimePoint now);

    [[nodiscard]] std::optional<double> perSecond() const { return m_perSecond; }
    /// @brief Whether a request may be sent now. @param draw random number in [0, 1), a new one for
    /// each request
    [[nodiscard]] bool allows(double draw, TimePoint now) const;
    /// @brief Used fraction of the bucket's capacity, in [0, 1].
    [[nodiscard]] double scarcity(TimePoint now) const;
    /// @brief When the next request may be sent.
    [[nodiscard]] TimePoint nextAllowedAt(TimePoint now) const;
    /// @brief The update to send. @return none if there is nothing to report
    [[nodiscard]] std::optional<LimitUpdate> pendingUpdate(TimePoint now) const;

private:
    /// Capacity of the bucket in requests: the larger of MinBurst and BurstSeconds at the limit.
    static constexpr double MinBurst = 2;
    static constexpr double BurstSeconds = 0.5;
    /// Bounds the time in which a debt is refilled, so that a wrong count cannot exclude an engine
    /// for long.
    static constexpr double MaxDebtSeconds = 2;
    static constexpr double MaxCompetitors = 64;

    struct Observation
    {
        std::optional<double> perSecond;
        TimePoint at;
    };

    [[nodiscard]] double rate() const;
    [[nodiscard]] double burst() const;
    [[nodiscard]] double levelAt(TimePoint now) const;
    [[nodiscard]] double competitorsAt(TimePoint now) const;
    bool applyObservation(const Observation &observation, TimePoint now);
    void take(double count, TimePoint now);

    std::optional<double> m_perSecond;
    TimePoint m_observedAt; ///< time of the most recent answer at any node
    std::optional<Observation> m_own;
    double m_level = 0;       ///< available tokens; negative: too many requests were sent
    double m_competitors = 1; ///< estimated number of nodes that compete for one token
    TimePoint m_levelAt;
    std::uint32_t m_sent = 0;
    std::unordered_map<std::uint64_t, std::uint32_t> m_othersSent;
};

} // namespace vanilladyke
