#include "vanilladyke/policy/ejection.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Weight of one answer in the averaged slowdown: ten answers outweigh earlier ones.
constexpr double SlowdownRate = 0.2;
/// Shorter predictions are raised to this: below it the ratio reflects scheduling rather than the
/// engine.
constexpr Duration LeastPrediction = std::chrono::milliseconds(20);

bool holds(const EngineView &engine, const ModelId &model)
{
    return std::find(engine.models.begin(), engine.models.end(), model) != engine.models.end();
}

std::size_t enginesOf(const ModelId &model, const Fleet &fleet)
{
    return static_cast<std::size_t>(
            std::count_if(fleet.engines.begin(), fleet.engines.end(),
                          [&](const EngineView &engine) { return holds(engine, model); }));
}

} // namespace

std::size_t maxEjected(std::size_t engines, double fraction)
{
    return static_cast<std::size_t>(static_cast<double>(engines) * fraction);
}

bool Ejection::observe(const ExchangeObservation &outcome, const Fleet &fleet, TimePoint now)
{
    Record &record = m_records[outcome.engine];
    if (now < record.endsAt) {
        return false; // the request was sent before the ejection
    }
    if (outcome.failed) {
        ++record.failuresInRow;
    } else {
        const double ratio = secondsOf(outcome.firstToken)
                             / secondsOf(std::max(outcome.predictedFirstToken, LeastPrediction));
        record.failuresInRow = 0;
        record.slowdown += SlowdownRate * (ratio - record.slowdown);
        ++record.samples;
    }
    const bool due = record.failuresInRow >= FailuresToEject || isSlow(outcome.engine, fleet);
    const EngineView *engine = findEngine(fleet, outcome.engine);
    if (!due || engine == nullptr || !withinCap(*engine, fleet, now)) {
        return false;
    }
    eject(record, now);
    return true;
}

bool Ejection::isSlow(const EngineId &engine, const Fleet &fleet) const
{
    const Record &own = m_records.at(engine);
    const EngineView *view = findEngine(fleet, engine);
    if (own.samples < SamplesToJudge || own.slowdown < SlowFactor || view == nullptr) {
        return false;
    }
    std::vector<double> others;
    for (const EngineView &other : fleet.engines) {
        const auto record = m_records.find(other.id);
        const bool comparable = other.id != engine && record != m_records.end()
                                && record->second.samples >= SamplesToJudge;
        if (comparable && other.models == view->models) {
            others.push_back(record->second.slowdown);
        }
    }
    if (others.empty()) {
        return false;
    }
    const auto median = others.begin() + static_cast<std::ptrdiff_t>(others.size() / 2);
    std::nth_element(others.begin(), median, others.end());
    return own.slowdown > SlowFactor * *median;
}

bool Ejection::withinCap(const EngineView &engine, const Fleet &fleet, TimePoint now) const
{
    const double fraction = fleet.bundle ? fleet.bundle->limits.ejectedFraction : 0;
    return std::all_of(engine.models.begin(), engine.models.end(), [&](const ModelId &model) {
        return ejectedOf(model, fleet, now) + 1 <= maxEjected(enginesOf(model, fleet), fraction);
    });
}

std::size_t Ejection::ejectedOf(const ModelId &model, const Fleet &fleet, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(
            fleet.engines.begin(), fleet.engines.end(), [&](const EngineView &engine) {
                return holds(engine, model) && ejected(engine.id, now);
            }));
}

void Ejection::eject(Record &record, TimePoint now) const
{
    // The back-off starts over for an engine that stayed healthy for its last back-off plus
    // RampTime.
    const bool relapsed =
            record.backoff > Duration(0) && now - record.endsAt < record.backoff + RampTime;
    record.backoff = relapsed ? std::min(2 * record.backoff, LongestBackoff) : FirstBackoff;
    record.ejectedAt = now;
    record.endsAt = now + record.backoff;
    record.failuresInRow = 0;
    record.samples = 0;
    record.slowdown = 1.0;
}

void Ejection::enforceCap(const Fleet &fleet, TimePoint now)
{
    if (!fleet.bundle) {
        return;
    }
    for (const Model &model : fleet.bundle->models) {
        const std::size_t cap =
                maxEjected(enginesOf(model.id, fleet), fleet.bundle->limits.ejectedFraction);
        while (ejectedOf(model.id, fleet, now) > cap) {
            Record *longest = nullptr;
            for (const EngineView &engine : fleet.engines) {
                if (!holds(engine, model.id) || !ejected(engine.id, now)) {
                    continue;
                }
                Record &record = m_records.at(engine.id);
                if (longest == nullptr || record.ejectedAt < longest->ejectedAt) {
                    longest = &record;
                }
            }
            longest->endsAt = now;
        }
    }
}

bool Ejection::ejected(const EngineId &engine, TimePoint now) const
{
    return endsAt(engine, now).has_value();
}

double Ejection::allowance(const EngineId &engine, TimePoint now) const
{
    const auto found = m_records.find(engine);
    if (found == m_records.end() || found->second.backoff == Duration(0)) {
        return 1;
    }
    if (now < found->second.endsAt) {
        return 0;
    }
    const double ramped = secondsOf(now - found->second.endsAt) / secondsOf(RampTime);
    return std::min(1.0, SlowStart + (1 - SlowStart) * ramped);
}

std::optional<TimePoint> Ejection::endsAt(const EngineId &engine, TimePoint now) const
{
    const auto found = m_records.find(engine);
    if (found == m_records.end() || now >= found->second.endsAt) {
        return std::nullopt;
    }
    return found->second.endsAt;
}

} // namespace vanilladyke
