#include "vanilladyke/model/fleet.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

template <typename Item, typename Id>
const Item *findById(const std::vector<Item> &items, const Id &id)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [&](const Item &item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

EngineKey engineKeyOf(const EngineId &id)
{
    return EngineKey{hashOfName(id.str())};
}

const Model *findModel(const Bundle &bundle, const ModelId &id)
{
    return findById(bundle.models, id);
}

const Service *findService(const Bundle &bundle, const ServiceId &id)
{
    return findById(bundle.services, id);
}

const EngineView *findEngine(const Fleet &fleet, const EngineId &id)
{
    return findById(fleet.engines, id);
}

bool serves(const EngineView &engine, const ModelId &model)
{
    return engine.state == EngineState::Ready
           && std::find(engine.models.begin(), engine.models.end(), model) != engine.models.end();
}

std::shared_ptr<const SlotAges> agesAfter(const std::shared_ptr<const SlotAges> &before,
                                          const LoadReport &load)
{
    auto ages = std::make_shared<SlotAges>(before ? *before : SlotAges());
    ages->saw(load);
    return ages;
}

} // namespace vanilladyke
