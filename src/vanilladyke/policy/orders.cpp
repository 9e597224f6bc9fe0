#include "vanilladyke/policy/orders.hpp"

#include "vanilladyke/model/fleet.hpp"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace vanilladyke {

namespace {

std::uint64_t weightOf(const std::string &key, const std::string &item)
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

/// How the change of one engine would leave the models that it serves now.
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

    [[nodiscard]] bool mayLose(const EngineHolding &engine, const EngineEntry &entry) const
    {
        return std::none_of(entry.models.begin(), entry.models.end(), [&](const ModelId &model) {
            // The only engine that a model has can't be spared, and nothing else could load for it.
            return serves(engine, model) && m_serving.at(model) < 2 && m_assigned.at(model) > 1;
        });
    }

    void lose(const EngineHolding &engine, const EngineEntry &entry)
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
        const bool arrived =
                std::any_of(engines.begin(), engines.end(), [&](const EngineHolding &engine) {
                    return canServe(engine) && holdsWeights(engine.held, model.id, model.weights);
                });
        const auto known = before.find(model.id);
        const bool keep = known != before.end() && !arrived;
        next[model.id] = keep ? known->second : model.weights;
    }
    return next;
}

std::vector<HeldModel> wantedOf(const Bundle &bundle, const EngineEntry &entry)
{
    std::vector<HeldModel> wanted;
    for (const ModelId &id : entry.models) {
        if (const Model *model = findModel(bundle, id)) {
            wanted.push_back({id, model->weights, model->adapters});
        }
    }
    return wanted;
}

bool holdsWanted(const std::vector<HeldModel> &wanted, const std::vector<HeldModel> &held)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](const HeldModel &each) {
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
        bool begun;
        std::uint64_t rank;
    };
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < bundle.engines.size(); ++i) {
        const EngineEntry &entry = bundle.engines[i];
        const EngineHolding &holding = engines.at(i);
        if (canServe(holding) && !holdsWanted(wantedOf(bundle, entry), holding.held)) {
            candidates.push_back({&entry, &holding, !holding.loading.empty(),
                                  weightOf(std::to_string(offset), entry.id.str())});
        }
    }
    // Those that load already count first: they take up the pace whatever is decided here.
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(!a.begun, a.rank) < std::tuple(!b.begun, b.rank);
    });
    ServingCount serving(bundle, engines, inService);
    std::vector<EngineId> taken;
    for (const Candidate &candidate : candidates) {
        if (taken.size() >= bundle.limits.loadsAtOnce) {
            break;
        }
        if (candidate.begun || serving.mayLose(*candidate.holding, *candidate.entry)) {
            serving.lose(*candidate.holding, *candidate.entry);
            taken.push_back(candidate.entry->id);
        }
    }
    return taken;
}

std::optional<NodeId> ordererOf(const EngineId &engine, const std::vector<NodeId> &liveNodes)
{
    const auto heaviest = std::max_element(
            liveNodes.begin(), liveNodes.end(), [&](const NodeId &a, const NodeId &b) {
                return weightOf(engine.str(), a.str()) < weightOf(engine.str(), b.str());
            });
    return heaviest == liveNodes.end() ? std::nullopt : std::optional(*heaviest);
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
        const std::vector<HeldModel> wanted = wantedOf(bundle, entry);
        std::vector<HeldModel> coming = holding.held;
        coming.insert(coming.end(), holding.loading.begin(), holding.loading.end());
        const bool drained = holding.busy == 0 || now >= progress.drainUntil;
        const bool waitsForLast = progress.sentAt && now - *progress.sentAt < m_timing.againAfter;
        if (!drained || waitsForLast || holdsWanted(wanted, coming)) {
            continue;
        }
        progress.sentAt = now;
        orders.push_back({entry.id, entry.endpoint, offset,
                          static_cast<std::uint64_t>(sequence.count()), wanted, entry.role});
    }
    return orders;
}

} // namespace vanilladyke
