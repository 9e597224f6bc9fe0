#pragma once

#include "vanilladyke/base/time.hpp"

#include <chrono>

/// How fast the engines of a service read prompts, learned from what requests took.
///
/// Load pattern: deployments differ in their engines. One reads 112 tokens in a millisecond,
/// another 40, and no configuration says so. A node that believes the wrong one sends requests
/// where they wait for seconds, or fetches what is sooner read.
namespace vanilladyke {

/// @brief Predicted times and charges, which are compared and added, never awaited.
using Millis = std::chrono::duration<double, std::milli>;

/// @brief A line through times to the first token by tokens read, fitted with forgetting. Pure.
///
/// Only requests that met no other waiting request count: the others' times say more of the queue.
/// A time counts as three times its prediction at most, so that a request that fell on an engine in
/// trouble moves the line little, and engines that are slow throughout are still learned.
class EnginePace
{
public:
    /// Before anything is known: slow enough that a burst at the start is spread.
    static constexpr double FirstTokensPerMs = 60;
    static constexpr Millis FirstFixed{30};
    /// Bounds of what is learned, whatever engines do.
    static constexpr double LeastTokensPerMs = 0.5;
    static constexpr double MostTokensPerMs = 5000;

    EnginePace();

    /// @brief A request's first token came. @param tokens of its prompt that the engine read
    void observed(double tokens, Millis took);
    /// @brief Time to the first token of a request that nothing is ahead of.
    [[nodiscard]] Millis predict(double tokens) const { return m_fixed + reading(tokens); }
    /// @brief Of it, what grows with the tokens.
    [[nodiscard]] Millis reading(double tokens) const { return Millis(tokens * m_perToken); }
    [[nodiscard]] double tokensPerMs() const { return 1 / m_perToken; }

private:
    void add(double weight, double tokens, double millis);
    void fit();

    double m_weight = 0; ///< of all samples, and their weighted sums
    double m_x = 0;
    double m_y = 0;
    double m_xx = 0;
    double m_xy = 0;
    double m_perToken = 1 / FirstTokensPerMs; ///< ms
    Millis m_fixed = FirstFixed;
};

/// @brief How long requests of a service stay at its servers, from sending to their end. Pure.
class RunLength
{
public:
    /// Bounds of what is learned, whatever servers do.
    static constexpr Millis Least{20};
    static constexpr Millis Most{5000};

    void observed(Millis took);
    [[nodiscard]] Millis mean() const { return m_mean; }

private:
    Millis m_mean{300}; ///< before anything is known
};

/// @brief How much slower than its service's pace an engine is. Pure.
///
/// Load pattern: one of nine engines works four times as long as the others for some seconds. Its
/// queue looks no longer than theirs, so that it gets its share of the requests, all late.
class EngineSlowness
{
public:
    static constexpr double Least = 0.5;
    static constexpr double Most = 8;
    /// An engine that is avoided shows nothing of itself and is tried again.
    static constexpr Duration HalfLife = std::chrono::seconds(4);

    /// @param ratio of a measured time to its prediction at the service's pace
    void observed(double ratio, TimePoint now);
    [[nodiscard]] double factor(TimePoint now) const;

private:
    double m_log = 0; ///< logarithm of the factor when it was last observed
    TimePoint m_at;
};

} // namespace vanilladyke
