#include "vanilladyke/capacity/synthetic_bundle.hpp"

#include "vanilladyke/gateway/filters.hpp"

#include <nlohmann/json.hpp>

namespace vanilladyke {

namespace {

std::string customerName(std::size_t index)
{
    return "customer-" + std::to_string(index);
}

std::string engineName(std::size_t index)
{
    return "engine-" + std::to_string(index);
}

Endpoint engineEndpoint(std::size_t index)
{
    return {"10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 8000};
}

} // namespace

std::string syntheticKey(std::size_t customer)
{
    return "key-of-" + customerName(customer);
}

Bundle syntheticBundle(std::size_t customers, std::size_t engines)
{
    Bundle bundle;
    bundle.version = 1;
    bundle.models = {{ModelId("model"), WeightsVersion("w1"), {}}};
    for (std::size_t i = 0; i < customers; ++i) {
        Customer customer;
        customer.id = CustomerId(customerName(i));
        customer.keyDigests = {keyDigest(syntheticKey(i))};
        bundle.customers.push_back(std::move(customer));
    }
    for (std::size_t i = 0; i < engines; ++i) {
        EngineEntry engine;
        engine.id = EngineId(engineName(i));
        engine.endpoint = engineEndpoint(i);
        engine.dataCentre = DataCentreId("cell");
        engine.models = {ModelId("model")};
        bundle.engines.push_back(std::move(engine));
    }
    return bundle;
}

std::string syntheticBundleText(std::size_t customers, std::size_t engines)
{
    const Bundle bundle = syntheticBundle(customers, engines);
    nlohmann::json json{{"version", 1}, {"models", {{{"id", "model"}, {"weights", "w1"}}}}};
    for (const Customer &customer : bundle.customers) {
        json["customers"].push_back(
                {{"id", customer.id.str()}, {"key_digests", customer.keyDigests}});
    }
    for (const EngineEntry &engine : bundle.engines) {
        json["engines"].push_back({{"id", engine.id.str()},
                                   {"endpoint", engine.endpoint.str()},
                                   {"data_centre", engine.dataCentre.str()},
                                   {"models", {"model"}}});
    }
    return json.dump();
}

} // namespace vanilladyke
