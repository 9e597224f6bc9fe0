#include "vanilladyke/control/engine_controller.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// An engine that has said nothing for so long counts as dead: reports come every 100 ms, so that
/// this is many in a row, and a crash is noticed before most first-token deadlines.
constexpr Duration SilenceOfTheDead = std::chrono::milliseconds(1500);

bool holdsWanted(const EngineReported &report, const Bundle &bundle, const ModelId &id)
{
    const Model *model = findModel(bundle, id);
    return model != nullptr
           && std::any_of(report.held.begin(), report.held.end(), [&](const HeldModel &held) {
                  return held.model == id && held.weights == model->weights;
              });
}

} // namespace

void EngineController::handle(const Event &event, TimePoint now)
{
    if (const auto *report = std::get_if<EngineReported>(&event)) {
        Known &known = m_known[report->engine];
        if (!known.reachable || known.last.incarnation != report->incarnation) {
            LogEvent("engine_up")
                    .field("engine", report->engine.str())
                    .field("incarnation", static_cast<std::uint64_t>(report->incarnation));
        }
        known = {*report, now, true};
    } else if (const auto *lost = std::get_if<EngineUnreachable>(&event)) {
        Known &known = m_known[lost->engine];
        if (known.reachable) {
            LogEvent("engine_lost", Severity::Warning)
                    .field("engine", lost->engine.str())
                    .field("reason", lost->reason);
        }
        known.reachable = false;
    } else if (const auto *leaving = std::get_if<EngineLeaving>(&event)) {
        m_known[leaving->engine].leaving = true;
        LogEvent("engine_leaving").field("engine", leaving->engine.str());
    }
}

void EngineController::contribute(Fleet &fleet, TimePoint now)
{
    if (!fleet.bundle) {
        return;
    }
    fleet.engines.reserve(fleet.bundle->engines.size());
    for (const EngineEntry &entry : fleet.bundle->engines) {
        fleet.engines.push_back(viewOf(entry, *fleet.bundle, now));
    }
    m_index = indexEngines(fleet.engines, m_index);
    fleet.index = m_index;
}

EngineView EngineController::viewOf(const EngineEntry &entry, const Bundle &bundle,
                                    TimePoint now) const
{
    EngineView view;
    view.id = entry.id;
    view.key = engineKeyOf(entry.id);
    view.endpoint = entry.endpoint;
    view.dataCentre = entry.dataCentre;
    view.slots = entry.slots;
    const auto found = m_known.find(entry.id);
    if (found == m_known.end()) {
        return view;
    }
    const Known &known = found->second;
    view.incarnation = known.last.incarnation;
    view.load = known.last.load;
    for (const ModelId &model : entry.models) {
        if (holdsWanted(known.last, bundle, model)) {
            view.models.push_back(model);
        }
    }
    if (!known.reachable || now - known.heardAt > SilenceOfTheDead) {
        view.state = EngineState::Dead;
    } else if (entry.role == EngineRole::Draining || known.leaving) {
        view.state = EngineState::Leaving;
    } else {
        view.state = view.models.empty() ? EngineState::Loading : EngineState::Ready;
    }
    return view;
}

} // namespace vanilladyke
