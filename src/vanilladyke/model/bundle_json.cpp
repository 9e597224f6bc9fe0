#include "vanilladyke/model/bundle_json.hpp"

#include "vanilladyke/model/json_reader.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr double MostWeight = 1e6;
constexpr double MostTokens = 1e12;

void readPriority(JsonReader &reader, Priority *out)
{
    std::string name = "normal";
    reader.text("priority", &name, false);
    if (name == "urgent") {
        *out = Priority::Urgent;
    } else if (name == "normal") {
        *out = Priority::Normal;
    } else if (name == "bulk") {
        *out = Priority::Bulk;
    } else {
        reader.fail("priority", "must be urgent, normal or bulk");
    }
}

Customer readCustomer(JsonReader &reader)
{
    reader.allowOnly(
            {"id", "key_digests", "weight", "priority", "tokens_per_second", "burst_tokens"});
    Customer customer;
    reader.id("id", &customer.id);
    reader.texts("key_digests", &customer.keyDigests);
    reader.number("weight", &customer.weight, 1e-3, MostWeight);
    readPriority(reader, &customer.priority);
    reader.number("tokens_per_second", &customer.tokensPerSecond, 0, MostTokens);
    reader.number("burst_tokens", &customer.burstTokens, 0, MostTokens);
    return customer;
}

Model readModel(JsonReader &reader)
{
    reader.allowOnly({"id", "weights", "adapters"});
    Model model;
    reader.id("id", &model.id);
    reader.id("weights", &model.weights);
    reader.ids("adapters", &model.adapters);
    return model;
}

EngineEntry readEngine(JsonReader &reader)
{
    reader.allowOnly({"id", "endpoint", "data_centre", "models", "role", "fencing", "slots"});
    EngineEntry engine;
    reader.id("id", &engine.id);
    reader.endpoint("endpoint", &engine.endpoint);
    reader.id("data_centre", &engine.dataCentre);
    reader.ids("models", &engine.models);
    std::string role = "serving";
    reader.text("role", &role, false);
    if (role != "serving" && role != "draining") {
        reader.fail("role", "must be serving or draining");
    }
    engine.role = role == "draining" ? EngineRole::Draining : EngineRole::Serving;
    reader.boolean("fencing", &engine.fencing);
    std::uint64_t slots = engine.slots;
    reader.integer("slots", &slots, 1, 4096);
    engine.slots = static_cast<std::uint32_t>(slots);
    return engine;
}

Service readService(JsonReader &reader)
{
    reader.allowOnly({"id", "backends", "repeatable", "deduplicates"});
    Service service;
    reader.id("id", &service.id);
    reader.endpoints("backends", &service.backends);
    reader.boolean("repeatable", &service.repeatable);
    reader.boolean("deduplicates", &service.deduplicates);
    return service;
}

void readObjective(JsonReader &reader, Objective *objective)
{
    reader.allowOnly({"recompute_weight", "tail_weight"});
    reader.number("recompute_weight", &objective->recomputeWeight, 0, MostWeight);
    reader.number("tail_weight", &objective->tailWeight, 0, MostWeight);
}

void readLimits(JsonReader &reader, Limits *limits)
{
    reader.allowOnly({"first_token_deadline_ms", "service_deadline_ms", "stream_silence_ms",
                      "claim_window_ms", "loads_at_once", "body_bytes", "retry_fraction",
                      "ejected_fraction"});
    reader.milliseconds("first_token_deadline_ms", &limits->firstTokenDeadline, milliseconds(10),
                        hours(1));
    reader.milliseconds("service_deadline_ms", &limits->serviceDeadline, milliseconds(10),
                        hours(1));
    reader.milliseconds("stream_silence_ms", &limits->streamSilence, milliseconds(50), hours(1));
    reader.milliseconds("claim_window_ms", &limits->claimWindow, milliseconds(1000), hours(24));
    std::uint64_t loads = limits->loadsAtOnce;
    reader.integer("loads_at_once", &loads, 1, 1000);
    limits->loadsAtOnce = static_cast<std::uint32_t>(loads);
    reader.integer("body_bytes", &limits->bodyBytes, 1024, 1U << 30U);
    reader.number("retry_fraction", &limits->retryFraction, 0, 1);
    reader.number("ejected_fraction", &limits->ejectedFraction, 0, 1);
}

} // namespace

Outcome<Bundle, std::vector<FieldError>> parseBundle(std::string_view text)
{
    std::vector<FieldError> errors;
    const nlohmann::json object = parseJsonObject(text, &errors);
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    Bundle bundle;
    JsonReader reader(object, "", &errors);
    reader.allowOnly({"version", "parent", "objective", "limits", "customers", "models", "engines",
                      "services", "kept_cache"});
    reader.integer("version", &bundle.version, 1, UINT64_MAX);
    reader.text("parent", &bundle.parentDigest, false);
    reader.object("objective", [&](JsonReader &in) { readObjective(in, &bundle.objective); });
    reader.object("limits", [&](JsonReader &in) { readLimits(in, &bundle.limits); });
    reader.objects("customers",
                   [&](JsonReader &in) { bundle.customers.push_back(readCustomer(in)); });
    reader.objects("models", [&](JsonReader &in) { bundle.models.push_back(readModel(in)); });
    reader.objects("engines", [&](JsonReader &in) { bundle.engines.push_back(readEngine(in)); });
    reader.objects("services", [&](JsonReader &in) { bundle.services.push_back(readService(in)); });
    if (reader.has("kept_cache")) {
        Endpoint keptCache;
        reader.endpoint("kept_cache", &keptCache);
        bundle.keptCache = keptCache;
    }
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    return bundle;
}

} // namespace vanilladyke
