#pragma once

#include "vanilladyke/model/fleet.hpp"

#include <array>
#include <unordered_map>

/// When a full engine gives a slot back.
///
/// Load pattern: a prefix gets hot, and its home fills up within a second. All that runs there
/// began together: for most of an answer's time no slot is free, then many are at once. A mean (one
/// slot in each service time divided by slots) promises the next callers a slot at once, and each
/// node sends its next ones there while other engines are idle: they all come late.
///
/// What the forecast goes by: since when requests run, as successive reports show it; how long
/// requests of this node kept their slots lately; what other nodes most likely sent there since the
/// last report, which is as much as this node did.
namespace vanilladyke {

/// @brief How long requests of this node lately kept their slots after the first token. Pure.
/// In tokens, so that engines of different speeds teach the same.
class AnswerLengths
{
public:
    static constexpr std::size_t MostKept = 32;
    /// While fewer have ended, those that have are the short ones.
    static constexpr std::size_t LeastKnown = 8;

    void ended(double tokens);
    [[nodiscard]] bool isKnown() const { return m_count >= LeastKnown; }
    /// @brief The part of answers that are longer. Only if they are known.
    [[nodiscard]] double partLongerThan(double tokens) const;
    [[nodiscard]] double mean() const { return m_mean; }

private:
    std::array<double, MostKept> m_latest{}; ///< a ring
    std::array<double, MostKept> m_sorted{}; ///< the first m_count of them
    std::size_t m_next = 0;
    std::size_t m_count = 0;
    double m_mean = 0;
};

/// @brief What one node knows of the slots of all engines. Pure.
class SlotForecast
{
public:
    /// An engine to which nothing was sent for so long is forgotten.
    static constexpr Duration Life = std::chrono::seconds(30);

    /// @brief A request of this node goes there.
    void sent(EngineKey engine, TimePoint now);
    /// @brief A request of this node gave its slot back. @param tokens made in its time
    void ended(double tokens) { m_lengths.ended(tokens); }
    /// @brief What other nodes most likely sent there since the engine measured its load.
    /// @param nodes that share the engines, this one included
    [[nodiscard]] double sentByOthers(EngineKey engine, const LoadReport &load, std::uint32_t nodes,
                                      TimePoint now) const;
    /// @brief Time until a full engine has given back so many slots.
    /// @param answerTokens stand for all answers' length while none is known
    [[nodiscard]] Duration untilFree(const EngineView &engine, double slots,
                                     std::uint32_t answerTokens, TimePoint now) const;

private:
    /// Requests of this node, fading.
    struct Sent
    {
        double count = 0;
        TimePoint at;
    };

    void forgetOld(TimePoint now);

    std::unordered_map<EngineKey, Sent> m_sent;
    AnswerLengths m_lengths;
    TimePoint m_forgotAt;
};

} // namespace vanilladyke
