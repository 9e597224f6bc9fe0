#pragma once

#include "vanilladyke/policy/prefill_backlog.hpp"

/// Backlog that other nodes reported for an engine, less what the engine has processed since.
///
/// Load pattern: each of hundreds of nodes reports its load right after it sent a long prompt, and
/// the next time when it sends another one, seconds later. The prefill of the prompt takes a tenth
/// of a second. If the prompt counted until the node's next report, an engine that is idle for nine
/// tenths of the time would appear to have a queue of many prompts: nodes would leave the engines
/// that have the prompts' parts cached, and refuse requests that would not have waited.
namespace vanilladyke {

/// @brief Reported backlog of one engine. Pure.
/// One millisecond of it drains per millisecond, the most urgent first; reports of one urgency
/// drain in proportion.
class PeerBacklog
{
public:
    /// @brief One node's report and its time, by which the remainder of it can be removed.
    struct Report
    {
        struct Mark
        {
            double share = 1;
            std::uint32_t emptied = 0;
        };
        PrefillBacklog work;
        std::array<Mark, PrefillBacklog::Urgencies> marks{};
    };

    [[nodiscard]] Report add(const PrefillBacklog &work, TimePoint now);
    /// @brief Removes the remainder of a report: the node sent a new one, or is gone.
    void remove(const Report &report, TimePoint now);
    /// @brief Backlog ahead of a new request of that urgency.
    [[nodiscard]] Millis ahead(int urgency, TimePoint now) const;

private:
    struct Level
    {
        double left = 0;  ///< remaining ms
        double share = 1; ///< remaining fraction of a report made when the level was last empty
        std::uint32_t emptied = 0; ///< how often the level has become empty
    };

    void drain(TimePoint now);
    static void drain(Level *level, double millis);

    std::array<Level, PrefillBacklog::Urgencies> m_levels{};
    TimePoint m_at;
};

} // namespace vanilladyke
