#include "vanilladyke/control/engine_controller.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// An engine without a report for this long counts as dead. Reports come every 100 ms, so that many
/// in a row must be missing, and a crash is detected before most first-token deadlines.
constexpr Duration SilenceOfTheDead = std::chrono::milliseconds(1500);

bool holdsInService(const EngineHolding &holding, const WeightsInService &weights,
                    const ModelId &id)
{
    const auto version = weights.find(id);
    return version != weights.end()
           && std::any_of(holding.held.begin(), holding.held.end(), [&](const HeldModel &held) {
                  return held.model == id && held.weights == version->second;
              });
}

void logSwitches(const WeightsInService &before, const WeightsInService &after)
{
    for (const auto &[model, weights] : after) {
        const auto known = before.find(model);
        if (known == before.end() || known->second != weights) {
            LogEvent("weights_in_service")
                    .field("model", model.str())
                    .field("weights", weights.str());
        }
    }
}

} // namespace

void EngineController::handle(const Event &event, TimePoint now)
{
    if (const auto *report = std::get_if<EngineReported>(&event)) {
        takeReport(*report, now);
    } else if (const auto *lost = std::get_if<EngineUnreachable>(&event)) {
        Known &known = m_known[lost->engine];
        if (known.reachable) {
            LogEvent("engine_lost", Severity::Warning)
                    .field("engine", lost->engine.str())
                    .field("reason", lost->reason);
        }
        known.reachable = false;
    } else if (const auto *leaving = std::get_if<EngineLeaving>(&event)) {
        Known &known = m_known[leaving->engine];
        if (!known.leaving) {
            LogEvent("engine_leaving").field("engine", leaving->engine.str());
        }
        known.leaving = true;
    }
}

void EngineController::takeReport(const EngineReported &report, TimePoint now)
{
    Known &known = m_known[report.engine];
    const bool reborn = known.last.incarnation != report.incarnation;
    if (!known.reachable || reborn) {
        LogEvent("engine_up")
                .field("engine", report.engine.str())
                .field("incarnation", static_cast<std::uint64_t>(report.incarnation));
    }
    // The update that an engine is leaving may arrive before its first report; it applies to the
    // incarnation of that report.
    const bool firstHeard = known.heardAt == TimePoint();
    known.leaving = known.leaving && (firstHeard || !reborn);
    known.ages = agesAfter(reborn ? nullptr : known.ages, report.load);
    known.last = report;
    known.heardAt = now;
    known.reachable = true;
}

void EngineController::contribute(Fleet &fleet, TimePoint now)
{
    if (!fleet.bundle) {
        return;
    }
    const Bundle &bundle = *fleet.bundle;
    m_holdings.clear();
    for (const EngineEntry &entry : bundle.engines) {
        m_holdings.push_back(holdingOf(entry, now));
    }
    WeightsInService weights = nextInService(bundle, m_holdings, m_weights);
    if (weights != m_weights) {
        logSwitches(m_weights, weights);
        m_weights = std::move(weights);
        m_serving.reset();
    }
    m_changing = enginesToChange(bundle, fleet.bundleOffset, m_holdings, m_weights);
    fleet.engines.reserve(bundle.engines.size());
    for (std::size_t i = 0; i < bundle.engines.size(); ++i) {
        fleet.engines.push_back(viewOf(bundle.engines[i], m_holdings[i]));
    }
    // A node that is ready before every engine was polled once would refuse its first requests. The
    // flag stays set when a later bundle adds engines: the load balancer must not withdraw the node
    // because of them.
    m_allHeardOf =
            m_allHeardOf
            || std::all_of(bundle.engines.begin(), bundle.engines.end(),
                           [&](const EngineEntry &entry) { return m_known.contains(entry.id); });
    fleet.enginesKnown = m_allHeardOf;
    m_index = indexEngines(fleet.engines, m_index);
    fleet.index = m_index;
    fleet.bundle = inService(fleet.bundle);
}

/// The bundle with the weights that engines serve now; placement, hashing and validation of
/// requests use these instead of the weights in the accepted bundle.
std::shared_ptr<const Bundle>
EngineController::inService(const std::shared_ptr<const Bundle> &bundle)
{
    if (m_serving && m_wanted == bundle) {
        return m_serving;
    }
    auto serving = std::make_shared<Bundle>(*bundle);
    for (Model &model : serving->models) {
        model.weights = m_weights.at(model.id);
    }
    m_wanted = bundle;
    m_serving = std::move(serving);
    return m_serving;
}

EngineHolding EngineController::holdingOf(const EngineEntry &entry, TimePoint now) const
{
    EngineHolding holding;
    const auto found = m_known.find(entry.id);
    if (found == m_known.end()) {
        return holding;
    }
    const Known &known = found->second;
    holding.reachable = known.reachable && now - known.heardAt <= SilenceOfTheDead;
    holding.leaving = known.leaving || entry.role == EngineRole::Draining;
    holding.held = known.last.held;
    holding.loading = known.last.loading;
    holding.busy = known.last.load.running + known.last.load.waiting;
    return holding;
}

EngineView EngineController::viewOf(const EngineEntry &entry, const EngineHolding &holding) const
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
    view.incarnation = found->second.last.incarnation;
    view.load = found->second.last.load;
    view.slotAges = found->second.ages;
    for (const ModelId &model : entry.models) {
        if (holdsInService(holding, m_weights, model)) {
            view.models.push_back(model);
        }
    }
    const bool changes =
            std::find(m_changing.begin(), m_changing.end(), entry.id) != m_changing.end();
    if (!holding.reachable) {
        view.state = EngineState::Dead;
    } else if (holding.leaving) {
        view.state = EngineState::Leaving;
    } else {
        view.state = changes || view.models.empty() ? EngineState::Loading : EngineState::Ready;
    }
    return view;
}

} // namespace vanilladyke
