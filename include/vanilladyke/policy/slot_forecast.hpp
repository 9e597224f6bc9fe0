#pragma once

#include "vanilladyke/model/fleet.hpp"

#include <array>
#include <unordered_map>

/// Forecast of when a full engine releases a slot.
///
/// Load pattern: a prefix becomes hot, and its preferred engine fills up within a second. All
/// requests there started together: for most of the duration of an answer no slot is free, then
/// many are released at once. A mean (one slot per service time divided by the number of slots)
/// predicts a free slot at once for the next callers, and every node sends its next requests there
/// while other engines are idle: all of them are late.
///
/// The forecast is based on the start times of the running requests, as shown by successive load
/// reports; on how long requests of this node recently held their slots; and on an estimate of what
/// other nodes have sent there since the last report, which is as much as this node sent.
namespace vanilladyke {

/// @brief Distribution of how long recent requests of this node held their slots after the first
/// token. Pure. Measured in tokens, so that samples from engines of different speeds are
/// comparable.
class AnswerLengths
{
public:
    static constexpr std::size_t MaxSamples = 32;
    /// Minimum number of samples. The first requests to end are the short ones, so fewer samples
    /// are biased.
    static constexpr std::size_t MinSamples = 8;

    void ended(double tokens);
    [[nodiscard]] bool isKnown() const { return m_count >= MinSamples; }
    /// @brief The fraction of answers that are longer. Requires isKnown().
    [[nodiscard]] double fractionLongerThan(double tokens) const;
    [[nodiscard]] double mean() const { return m_mean; }

private:
    std::array<double, MaxSamples> m_latest{}; ///< ring buffer
    std::array<double, MaxSamples> m_sorted{}; ///< sorted copy; the first m_count are valid
    std::size_t m_next = 0;
    std::size_t m_count = 0;
    double m_mean = 0;
};

/// @brief One node's forecast for the slots of all engines. Pure.
class SlotForecast
{
public:
    /// The entry of an engine is dropped after this time without a request.
    static constexpr Duration RetentionTime = std::chrono::seconds(30);

    /// @brief Records a request of this node to the engine.
    void sent(EngineKey engine, TimePoint now);
    /// @brief Records that a request of this node released its slot. @param tokens generated while
    /// it held the slot
    void ended(double tokens) { m_lengths.ended(tokens); }
    /// @brief Estimated number of requests that other nodes sent there since the engine measured
    /// its load.
    /// @param nodes number of nodes that share the engines, this one included
    [[nodiscard]] double sentByOthers(EngineKey engine, const LoadReport &load, std::uint32_t nodes,
                                      TimePoint now) const;
    /// @brief Time until a full engine has released this many slots.
    /// @param answerTokens answer length to assume while too few samples are known
    [[nodiscard]] Duration untilFree(const EngineView &engine, double slots,
                                     std::uint32_t answerTokens, TimePoint now) const;

private:
    /// Exponentially decaying count of requests of this node.
    struct Sent
    {
        double count = 0;
        TimePoint at;
    };

    void pruneExpired(TimePoint now);

    std::unordered_map<EngineKey, Sent> m_sent;
    AnswerLengths m_lengths;
    TimePoint m_prunedAt;
};

} // namespace vanilladyke
