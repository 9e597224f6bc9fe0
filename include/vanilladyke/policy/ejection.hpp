#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/ids.hpp"

#include <map>
#include <optional>
#include <vector>

/// Ejection: engines that fail or answer slowly get no requests for a while.
///
/// Load pattern: one engine of many fails its requests at once, or answers ten times slower than
/// the others while it reports itself healthy. An engine that fails fast even looks idle and
/// attracts requests. Without ejection a share of all requests goes there until an operator
/// notices.
///
/// Constants: at an error rate of a few percent, FailuresToEject failures in a row are unlikely to
/// be random. An engine is slow if, over at least SamplesToJudge answers, its first tokens take
/// SlowFactor times as long relative to their prediction as those of the median engine of the
/// model. The median is used because no engine should be ejected when all are slow. The back-off
/// starts at the time that loading weights takes (2 s) and doubles up to a minute. Afterwards the
/// engine gets SlowStart of its slots, growing to all of them over RampTime, so that an engine that
/// still fails affects few requests. The cap on the ejected fraction comes from the bundle: beyond
/// it the remaining engines would be overloaded, which is worse than using a failing engine.
namespace vanilladyke {

/// @brief The outcome of one exchange with an engine.
struct ExchangeObservation
{
    EngineId engine;
    bool failed = false;
    Duration predictedFirstToken{}; ///< predicted by placement
    Duration firstToken{};          ///< measured; not used if it failed
};

/// @brief Tracks which engines are ejected and how many slots returning engines may use.
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

    /// @brief Records an outcome. Ejects the engine if it qualifies and every model that it serves
    /// stays within its cap.
    /// @return whether this ejected the engine
    bool observe(const ExchangeObservation &outcome, const Fleet &fleet, TimePoint now);
    /// @brief Ends ejections that exceed the cap of a smaller fleet, the longest-running first.
    void enforceCap(const Fleet &fleet, TimePoint now);

    [[nodiscard]] bool ejected(const EngineId &engine, TimePoint now) const;
    /// @brief Fraction of its slots that the engine may use: 0 while ejected, then growing to 1.
    [[nodiscard]] double allowance(const EngineId &engine, TimePoint now) const;
    /// @brief When the ejection ends; none if it is not ejected.
    [[nodiscard]] std::optional<TimePoint> endsAt(const EngineId &engine, TimePoint now) const;

private:
    struct Record
    {
        int failuresInRow = 0;
        int samples = 0;
        double slowdown = 1.0; ///< average ratio of measured to predicted time to first token
        Duration backoff{};    ///< of the last ejection; zero if none
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

/// @brief Maximum number of engines out of `engines` that may be ejected at once.
[[nodiscard]] std::size_t maxEjected(std::size_t engines, double fraction);

} // namespace vanilladyke
