#pragma once

#include "vanilladyke/policy/waiting_work.hpp"

/// What other nodes said waits at an engine, less what the engine has read since they said so.
///
/// Load pattern: hundreds of nodes tell of their load right after they sent a long prompt, and next
/// when they send another one, seconds later. The prompt is read within a tenth of a second. Were
/// it to count until the node tells anew, an engine that is idle for nine tenths of the time would
/// look as if a queue of many prompts stood before it: nodes leave the engines that have the
/// prompts' parts, and refuse requests that would not have waited.
namespace vanilladyke {

/// @brief Work of one engine as told by others. Pure. An engine reads a millisecond of it in each
/// millisecond, the most urgent first; parts of one urgency drain in proportion.
class DrainingWork
{
public:
    /// @brief What one node told, and when, so that what is left of it can be taken back.
    struct Told
    {
        struct Mark
        {
            double share = 1;
            std::uint32_t emptied = 0;
        };
        WaitingWork work;
        std::array<Mark, WaitingWork::Urgencies> marks{};
    };

    [[nodiscard]] Told add(const WaitingWork &work, TimePoint now);
    /// @brief Removes what is left of it: the node tells anew, or is gone.
    void takeBack(const Told &told, TimePoint now);
    /// @brief What is ahead of a request of that urgency that comes now.
    [[nodiscard]] Millis ahead(int urgency, TimePoint now) const;

private:
    struct Level
    {
        double left = 0;           ///< ms
        double share = 1;          ///< of what was told since the level was empty
        std::uint32_t emptied = 0; ///< how often the level became empty
    };

    void drain(TimePoint now);
    static void drain(Level *level, double millis);

    std::array<Level, WaitingWork::Urgencies> m_levels{};
    TimePoint m_at;
};

} // namespace vanilladyke
