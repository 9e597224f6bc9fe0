#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/ids.hpp"

#include <map>
#include <optional>
#include <vector>

/// Ejection: engines that fail or answer slowly get no work for a while.
///
/// Load pattern: one engine of many fails its requests at once, or answers ten times slower than
/// the others while its health report looks well. An engine that fails fast even looks idle and
/// draws work. Without ejection a share of all requests goes there until somebody notices.
///
/// Grounds for the figures: FailuresToEject failures in a row are past chance at an error rate of
/// a few in a hundred. An engine is slow when its first tokens take SlowFactor times as long,
/// against their prediction, as those of the middle engine of the model, over at least
/// SamplesToJudge answers; the middle one, because when all are slow none is to blame. The back-off
/// starts at the time that loading weights takes (2 s) and doubles up to a minute. After it the
/// engine gets SlowStart of its slots, growing to all of them over RampTime, so that one that is
/// still sick hurts few requests. The cap on the ejected fraction comes from the bundle: beyond it
/// the engines that are left would be overloaded, which is worse than a sick engine.
namespace vanilladyke {

/// @brief How one exchange with an engine went.
struct ExchangeObservation
{
    EngineId engine;
    bool failed = false;
    Duration predictedFirstToken{}; ///< as placement predicted it
    Duration firstToken{};          ///< as it came; not used if it failed
};

/// @brief Which engines are ejected, and how far others are on their way back.
class Ejection
{
public:
    static constexpr int FailuresToEject = 5;
    static constexpr double SlowFactor = 4.0;
    static constexpr int SamplesToJudge = 10;
    static constexpr Duration FirstBackoff = std::chrono::seconds(2);
    static constexpr Duration LongestBackoff = std::chrono::seconds(60);
    static constexpr Duration RampTime = std::chrono::seconds(10);
    static constexpr double SlowStart = 0.1;

    /// @brief Takes in an outcome; ejects the engine if it is due and every model that it serves
    /// stays within its cap.
    /// @return whether the engine was ejected by this
    bool observe(const ExchangeObservation &seen, const Fleet &fleet, TimePoint now);
    /// @brief Ends ejections that a smaller fleet no longer allows, the longest-running first.
    void fit(const Fleet &fleet, TimePoint now);

    [[nodiscard]] bool ejected(const EngineId &engine, TimePoint now) const;
    /// @brief Part of its slots that the engine may use: 0 while ejected, growing to 1 after.
    [[nodiscard]] double allowance(const EngineId &engine, TimePoint now) const;
    /// @brief When the ejection ends; none if it is not ejected.
    [[nodiscard]] std::optional<TimePoint> endsAt(const EngineId &engine, TimePoint now) const;

private:
    struct Record
    {
        int failuresInRow = 0;
        int samples = 0;
        double slowness = 1.0; ///< measured against predicted first token, averaged
        Duration backoff{};    ///< of the last ejection; zero if there was none
        TimePoint ejectedAt;
        TimePoint endsAt;
    };

    [[nodiscard]] bool isSlow(const EngineId &engine, const Fleet &fleet) const;
    [[nodiscard]] bool withinCap(const EngineView &engine, const Fleet &fleet, TimePoint now) const;
    [[nodiscard]] std::size_t ejectedOf(const ModelId &model, const Fleet &fleet,
                                        TimePoint now) const;
    void eject(Record &record, TimePoint now) const;

    std::map<EngineId, Record> m_records;
};

/// @brief How many of so many engines may be ejected at once.
[[nodiscard]] std::size_t mostEjected(std::size_t engines, double fraction);

} // namespace vanilladyke
