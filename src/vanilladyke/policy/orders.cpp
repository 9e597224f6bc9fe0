#include "vanilladyke/policy/orders.hpp"

#include "vanilladyke/model/fleet.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace vanilladyke {

namespace {

std::uint64_t hashOf(const std::string &key, const std::string &item)
{
    const std::string both = key + '\n' + item;
    return XXH3_64bits(both.data(), both.size());
}

bool holdsWeights(const std::vector<HeldModel> &held, const ModelId &model,
                  const WeightsVersion &weights)
{
    return std::any_of(held.begin(), held.end(), [&](const HeldModel &each) {
        return each.model == model && each.weights == weights;
    });
}

bool canServe(const EngineHolding &engine)
{
    return engine.reachable && !engine.leaving;
}

/// Counts the engines that serve each model, to check which engine can be taken out of
/// service.
class ServingCount
{
public:
    ServingCount(const Bundle &bundle, const std::vector<EngineHolding> &engines,
                 const WeightsInService &inService)
        : m_inService(inService)
    {
        for (std::size_t i = 0; i < bundle.engines.size(); ++i) {
            for (const ModelId &model : bundle.engines[i].models) {
                ++m_assigned[model];
                if (canServe(engines[i]) && serves(engines[i], model)) {
                    ++m_serving[model];
                }
            }
        }
    }

    [[nodiscard]] bool mayRemove(const EngineHolding &engine, const EngineEntry &entry) const
    {
        return std::none_of(entry.models.begin(), entry.models.end(), [&](const ModelId &model) {
            // An engine that is the only one assigned to a model has to change anyway: no other
            // engine could load the new weights first.
            return serves(engine, model) && m_serving.at(model) < 2 && m_assigned.at(model) > 1;
        });
    }

    void remove(const EngineHolding &engine, const EngineEntry &entry)
    {
        for (const ModelId &model : entry.models) {
            if (serves(engine, model)) {
                --m_serving[model];
            }
        }
    }

private:
    [[nodiscard]] bool serves(const EngineHolding &engine, const ModelId &model) const
    {
        const auto weights = m_inService.find(model);
        return weights != m_inService.end() && holdsWeights(engine.held, model, weights->second);
    }

    const WeightsInService &m_inService;
    std::map<ModelId, int> m_assigned;
    std::map<ModelId, int> m_serving;
};

} // namespace

WeightsInService nextInService(const Bundle &bundle, const std::vector<EngineHolding> &engines,
                               const WeightsInService &before)
{
    WeightsInService next;
    for (const Model &model : bundle.models) {
        const bool isLoaded =
                std::any_of(engines.begin(), engines.end(), [&](const EngineHolding &engine) {
                    return canServe(engine) && holdsWeights(engine.held, model.id, model.weights);
                });
        const auto previous = before.find(model.id);
        const bool keepsPrevious = previous != before.end() && !isLoaded;
        next[model.id] = keepsPrevious ? previous->second : model.weights;
    }
    return next;
}

std::vector<HeldModel> requiredModels(const Bundle &bundle, const EngineEntry &entry)
{
    std::vector<HeldModel> required;
    for (const ModelId &id : entry.models) {
        if (const Model *model = findModel(bundle, id)) {
            required.push_back({id, model->weights, model->adapters});
        }
    }
    return required;
}

bool holdsRequired(const std::vector<HeldModel> &required, const std::vector<HeldModel> &held)
{
    return std::all_of(required.begin(), required.end(), [&](const HeldModel &each) {
        return std::find(held.begin(), held.end(), each) != held.end();
    });
}

std::vector<EngineId> enginesToChange(const Bundle &bundle, LogOffset offset,
                                      const std::vector<EngineHolding> &engines,
                                      const WeightsInService &inService)
{
    struct Candidate
    {
        const EngineEntry *entry;
        const EngineHolding *holding;
        bool isLoading;
        std::uint64_t rank;
    };
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < bundle.engines.size(); ++i) {
        const EngineEntry &entry = bundle.engines[i];
        const EngineHolding &holding = engines.at(i);
        if (canServe(holding) && !holdsRequired(requiredModels(bundle, entry), holding.held)) {
            candidates.push_back({&entry, &holding, !holding.loading.empty(),
                                  hashOf(std::to_string(offset), entry.id.str())});
        }
    }
    // Engines that are already loading come first: they use up the limit in any case.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(!a.isLoading, a.rank) < std::tuple(!b.isLoading, b.rank);
    });
    ServingCount serving(bundle, engines, inService);
    std::vector<EngineId> selected;
    for (const Candidate &candidate : candidates) {
        if (selected.size() >= bundle.limits.loadsAtOnce) {
            break;
        }
        if (candidate.isLoading || serving.mayRemove(*candidate.holding, *candidate.entry)) {
            serving.remove(*candidate.holding, *candidate.entry);
            selected.push_back(candidate.entry->id);
        }
    }
    return selected;
}

std::optional<NodeId> ordererOf(const EngineId &engine, const std::vector<NodeId> &liveNodes)
{
    const auto highest = std::max_element(
            liveNodes.begin(), liveNodes.end(), [&](const NodeId &a, const NodeId &b) {
                return hashOf(engine.str(), a.str()) < hashOf(engine.str(), b.str());
            });
    return highest == liveNodes.end() ? std::nullopt : std::optional(*highest);
}

OrderPlan::OrderPlan(NodeId self, OrderTiming timing)
    : m_self(std::move(self))
    , m_timing(timing)
{}

std::vector<EngineOrder> OrderPlan::due(const Bundle &bundle, LogOffset offset,
                                        const std::vector<EngineHolding> &engines,
                                        const std::vector<EngineId> &changing,
                                        const std::vector<NodeId> &liveNodes, TimePoint now,
                                        WallTime wallNow)
{
    std::erase_if(m_progress, [&](const auto &each) {
        return std::find(changing.begin(), changing.end(), each.first) == changing.end();
    });
    const auto sequence =
            std::chrono::duration_cast<std::chrono::milliseconds>(wallNow.time_since_epoch());
    std::vector<EngineOrder> orders;
    for (std::size_t i = 0; i < bundle.engines.size(); ++i) {
        const EngineEntry &entry = bundle.engines[i];
        const EngineHolding &holding = engines.at(i);
        const bool due = std::find(changing.begin(), changing.end(), entry.id) != changing.end();
        if (!due || ordererOf(entry.id, liveNodes) != m_self) {
            continue;
        }
        Progress &progress = m_progress[entry.id];
        if (progress.offset != offset || progress.drainUntil == TimePoint()) {
            progress = {offset, now + m_timing.drainWithin, std::nullopt};
        }
        const std::vector<HeldModel> required = requiredModels(bundle, entry);
        std::vector<HeldModel> heldOrLoading = holding.held;
        heldOrLoading.insert(heldOrLoading.end(), holding.loading.begin(), holding.loading.end());
        const bool drained = holding.busy == 0 || now >= progress.drainUntil;
        const bool isInRetryDelay = progress.sentAt && now - *progress.sentAt < m_timing.againAfter;
        if (!drained || isInRetryDelay || holdsRequired(required, heldOrLoading)) {
            continue;
        }
        progress.sentAt = now;
        orders.push_back({entry.id, entry.endpoint, offset,
                          static_cast<std::uint64_t>(sequence.count()), required, entry.role});
    }
    return orders;
}

} // namespace vanilladyke
