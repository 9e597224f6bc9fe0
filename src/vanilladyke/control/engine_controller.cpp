#include "vanilladyke/control/engine_controller.hpp"

#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// An engine without a report for this long counts as dead. Reports come every 100 ms, so that many
/// in a row must be missing, and a crash is detected before most first-token deadlines.
constexpr Duration UnresponsiveAfter = std::chrono::milliseconds(1500);

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
        applyReport(*report, now);
    } else if (const auto *lost = std::get_if<EngineUnreachable>(&event)) {
        EngineRecord &record = m_records[lost->engine];
        if (record.reachable) {
            LogEvent("engine_lost", Severity::Warning)
                    .field("engine", lost->engine.str())
                    .field("reason", lost->reason);
        }
        record.reachable = false;
    } else if (const auto *leaving = std::get_if<EngineLeaving>(&event)) {
        EngineRecord &record = m_records[leaving->engine];
        if (!record.leaving) {
            LogEvent("engine_leaving").field("engine", leaving->engine.str());
        }
        record.leaving = true;
    }
}

void EngineController::applyReport(const EngineReported &report, TimePoint now)
{
    EngineRecord &record = m_records[report.engine];
    const bool restarted = record.last.incarnation != report.incarnation;
    if (!record.reachable || restarted) {
        LogEvent("engine_up")
                .field("engine", report.engine.str())
                .field("incarnation", static_cast<std::uint64_t>(report.incarnation));
    }
    // The update that an engine is leaving may arrive before its first report; it applies to the
    // incarnation of that report.
    const bool isFirstReport = record.lastSeenAt == TimePoint();
    record.leaving = record.leaving && (isFirstReport || !restarted);
    record.ages = agesAfter(restarted ? nullptr : record.ages, report.load);
    record.last = report;
    record.lastSeenAt = now;
    record.reachable = true;
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
    m_allPolled =
            m_allPolled
            || std::all_of(bundle.engines.begin(), bundle.engines.end(),
                           [&](const EngineEntry &entry) { return m_records.contains(entry.id); });
    fleet.enginesKnown = m_allPolled;
    m_index = indexEngines(fleet.engines, m_index);
    fleet.index = m_index;
    fleet.bundle = inService(fleet.bundle);
}

/// The bundle with the weights that engines serve now; placement, hashing and validation of
/// requests use these instead of the weights in the accepted bundle.
std::shared_ptr<const Bundle>
EngineController::inService(const std::shared_ptr<const Bundle> &bundle)
{
    if (m_serving && m_accepted == bundle) {
        return m_serving;
    }
    auto serving = std::make_shared<Bundle>(*bundle);
    for (Model &model : serving->models) {
        model.weights = m_weights.at(model.id);
    }
    m_accepted = bundle;
    m_serving = std::move(serving);
    return m_serving;
}

EngineHolding EngineController::holdingOf(const EngineEntry &entry, TimePoint now) const
{
    EngineHolding holding;
    const auto found = m_records.find(entry.id);
    if (found == m_records.end()) {
        return holding;
    }
    const EngineRecord &record = found->second;
    holding.reachable = record.reachable && now - record.lastSeenAt <= UnresponsiveAfter;
    holding.leaving = record.leaving || entry.role == EngineRole::Draining;
    holding.held = record.last.held;
    holding.loading = record.last.loading;
    holding.busy = record.last.load.running + record.last.load.waiting;
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
    const auto found = m_records.find(entry.id);
    if (found == m_records.end()) {
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
