#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <optional>

/// Whether an engine falls over if it has to reject too many requests, by what answers at any node
/// said. While it is brittle, requests are sent only with a place; see place_book.hpp.
///
/// The engine is brittle for as long as its answers say so; the most recent answer at any node
/// decides. One that starts while others of its service are brittle is taken for brittle until it
/// answers: it is the only one without an answer, and all nodes would send to it at once.
namespace vanilladyke {

/// @brief What one node sends to others about a brittle engine.
struct BrittleUpdate
{
    std::uint64_t backend = 0;        ///< hash of the engine's id
    std::optional<double> rejections; ///< a second, over which it falls over; none: not brittle
    Duration age{};                   ///< of the answer that said so
};

/// @brief The view that one node has of one engine. Pure.
class BrittleEngine
{
public:
    /// How long a node reports that the engine is not brittle any more.
    static constexpr Duration ReportEndFor = std::chrono::seconds(5);
    /// An answer without the statement has to be this much newer than one with it: answers may be
    /// read out of order.
    static constexpr Duration EndMargin = std::chrono::milliseconds(250);

    /// @brief Takes the engine for brittle until an answer of it says otherwise.
    void presume(double rejections, TimePoint now);
    /// @brief Records what an answer to this node said. @return whether the tolerance changed
    bool observed(std::optional<double> rejections, TimePoint now);
    /// @brief Applies the update of another node. @return whether the tolerance changed
    bool received(const BrittleUpdate &update, TimePoint now);

    /// @brief Rejections in a second over which it falls over; none: it bears any number.
    [[nodiscard]] std::optional<double> rejections() const { return m_rejections; }
    /// @brief When this node learned that the engine is brittle; none if it is not.
    [[nodiscard]] std::optional<TimePoint> since() const;
    /// @brief The update to send. @return none if there is nothing to report
    [[nodiscard]] std::optional<BrittleUpdate> pendingUpdate(TimePoint now) const;

private:
    struct Observation
    {
        std::optional<double> rejections;
        TimePoint at;
    };

    bool apply(const Observation &observation, TimePoint now);

    std::optional<double> m_rejections;
    TimePoint m_since;
    TimePoint m_observedAt; ///< time of the most recent answer at any node
    std::optional<Observation> m_own;
};

} // namespace vanilladyke
