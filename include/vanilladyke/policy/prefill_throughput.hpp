#pragma once

#include "vanilladyke/base/time.hpp"

#include <chrono>

/// Prefill throughput of the engines of a service, learned from the durations of requests.
///
/// Load pattern: deployments differ in their engines. One prefills 112 tokens per millisecond,
/// another 40, and no configuration says so. With a wrong value a node sends requests where they
/// wait for seconds, or fetches what would be prefilled sooner.
namespace vanilladyke {

/// @brief Unit of predicted times and penalties, which are added and compared but never waited for.
using Millis = std::chrono::duration<double, std::milli>;

/// @brief Linear fit of the time to the first token over the number of prefilled tokens, with
/// exponential forgetting. Pure.
///
/// Only requests that met no other waiting request count; the times of the others are dominated by
/// the queue. A sample is capped at three times its prediction, so that a request at a failing
/// engine changes the fit little, while engines that are slow throughout are still learned.
class PrefillThroughput
{
public:
    /// Initial value: slow enough that a burst right after the start is spread.
    static constexpr double InitialTokensPerMs = 60;
    static constexpr Millis InitialFixed{30};
    /// Bounds of the learned value.
    static constexpr double MinTokensPerMs = 0.5;
    static constexpr double MaxTokensPerMs = 5000;

    PrefillThroughput();

    /// @brief Adds a sample: a first token arrived. @param tokens that the engine prefilled
    void observed(double tokens, Millis took);
    /// @brief Predicted time to the first token without a backlog.
    [[nodiscard]] Millis predict(double tokens) const { return m_fixed + prefillTime(tokens); }
    /// @brief The part of it that is proportional to the tokens.
    [[nodiscard]] Millis prefillTime(double tokens) const { return Millis(tokens * m_perToken); }
    [[nodiscard]] double tokensPerMs() const { return 1 / m_perToken; }

private:
    void add(double weight, double tokens, double millis);
    void fit();

    double m_weight = 0; ///< weighted sums over all samples
    double m_x = 0;
    double m_y = 0;
    double m_xx = 0;
    double m_xy = 0;
    double m_perToken = 1 / InitialTokensPerMs; ///< ms
    Millis m_fixed = InitialFixed;
};

/// @brief Mean time from sending a request of a service until its end. Pure.
class RequestDuration
{
public:
    /// Bounds of the learned value.
    static constexpr Millis Min{20};
    static constexpr Millis Max{5000};

    void observed(Millis took);
    [[nodiscard]] Millis mean() const { return m_mean; }

private:
    Millis m_mean{300}; ///< until there are samples
};

/// @brief Slowdown of an engine relative to the throughput of its service. Pure.
///
/// Load pattern: one of nine engines takes four times as long as the others for some seconds. Its
/// queue looks no longer than theirs, so that it gets its share of the requests, and all of them
/// are late.
class EngineSlowdown
{
public:
    static constexpr double Min = 0.5;
    static constexpr double Max = 8;
    /// An avoided engine gives no samples; the factor decays so that it is tried again.
    static constexpr Duration HalfLife = std::chrono::seconds(4);

    /// @param ratio of a measured time to the one predicted for the service
    void observed(double ratio, TimePoint now);
    [[nodiscard]] double factor(TimePoint now) const;

private:
    double m_log = 0; ///< logarithm of the factor at m_at
    TimePoint m_at;
};

} // namespace vanilladyke
