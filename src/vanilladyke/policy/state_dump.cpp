#include "vanilladyke/policy/state_dump.hpp"

#include "vanilladyke/model/fleet_index.hpp"
#include "vanilladyke/model/json_reader.hpp"

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, 5> StateNames{"unknown", "ready", "loading", "leaving",
                                                     "dead"};
constexpr Duration LongestAge = std::chrono::hours(24 * 30);
constexpr double MostPerSecond = 1e12;

std::uint64_t millisecondsOf(Duration span)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

json write(const LoadReport &load, TimePoint now)
{
    return {{"age_ms", millisecondsOf(now - load.measuredAt)},
            {"running", load.running},
            {"waiting", load.waiting},
            {"queued_prefill_tokens", load.queuedPrefillTokens},
            {"prefill_tokens_per_second", load.prefillTokensPerSecond},
            {"decode_tokens_per_second", load.decodeTokensPerSecond}};
}

json write(const EngineView &engine, TimePoint now)
{
    json models = json::array();
    for (const ModelId &model : engine.models) {
        models.push_back(model.str());
    }
    return {{"id", engine.id.str()},
            {"data_centre", engine.dataCentre.str()},
            {"incarnation", static_cast<std::uint64_t>(engine.incarnation)},
            {"state", StateNames.at(static_cast<std::size_t>(engine.state))},
            {"models", models},
            {"slots", engine.slots},
            {"load", write(engine.load, now)}};
}

json writeBundlePart(const Bundle &bundle)
{
    json models = json::array();
    for (const Model &model : bundle.models) {
        models.push_back({{"id", model.id.str()}, {"weights", model.weights.str()}});
    }
    return {{"version", bundle.version},
            {"models", models},
            {"objective",
             {{"recompute_weight", bundle.objective.recomputeWeight},
              {"tail_weight", bundle.objective.tailWeight}}}};
}

std::uint32_t readCount(JsonReader &reader, const std::string &key)
{
    std::uint64_t count = 0;
    reader.integer(key, &count, 0, UINT32_MAX);
    return static_cast<std::uint32_t>(count);
}

LoadReport readLoad(JsonReader &reader, TimePoint now)
{
    LoadReport load;
    Duration age{};
    reader.milliseconds("age_ms", &age, Duration::zero(), LongestAge);
    load.measuredAt = now - age;
    load.running = readCount(reader, "running");
    load.waiting = readCount(reader, "waiting");
    reader.integer("queued_prefill_tokens", &load.queuedPrefillTokens, 0, UINT64_MAX);
    reader.number("prefill_tokens_per_second", &load.prefillTokensPerSecond, 1e-3, MostPerSecond);
    reader.number("decode_tokens_per_second", &load.decodeTokensPerSecond, 1e-3, MostPerSecond);
    return load;
}

void readState(JsonReader &reader, EngineState *out)
{
    std::string name;
    reader.text("state", &name);
    const auto found = std::find(StateNames.begin(), StateNames.end(), name);
    if (found == StateNames.end()) {
        reader.fail("state", "must be unknown, ready, loading, leaving or dead");
        return;
    }
    *out = static_cast<EngineState>(found - StateNames.begin());
}

EngineView readEngine(JsonReader &reader, TimePoint now)
{
    EngineView engine;
    reader.id("id", &engine.id);
    engine.key = engineKeyOf(engine.id);
    reader.id("data_centre", &engine.dataCentre, false);
    std::uint64_t incarnation = 0;
    reader.integer("incarnation", &incarnation, 0, UINT64_MAX);
    engine.incarnation = Incarnation{incarnation};
    readState(reader, &engine.state);
    reader.ids("models", &engine.models);
    engine.slots = readCount(reader, "slots");
    reader.object("load", [&](JsonReader &in) { engine.load = readLoad(in, now); });
    return engine;
}

Bundle readBundlePart(JsonReader &reader)
{
    Bundle bundle;
    reader.integer("version", &bundle.version, 0, UINT64_MAX);
    reader.objects("models", [&](JsonReader &in) {
        Model model;
        in.id("id", &model.id);
        in.id("weights", &model.weights);
        bundle.models.push_back(std::move(model));
    });
    reader.object("objective", [&](JsonReader &in) {
        in.number("recompute_weight", &bundle.objective.recomputeWeight, 0, MostPerSecond);
        in.number("tail_weight", &bundle.objective.tailWeight, 0, MostPerSecond);
    });
    return bundle;
}

CacheEntry readEntry(JsonReader &reader)
{
    CacheEntry entry;
    EngineId engine;
    reader.id("engine", &engine);
    entry.engine = engineKeyOf(engine);
    std::uint64_t incarnation = 0;
    reader.integer("incarnation", &incarnation, 0, UINT64_MAX);
    entry.incarnation = Incarnation{incarnation};
    std::string hash;
    reader.text("hash", &hash);
    if (!parseChainHash(hash, &entry.hash)) {
        reader.fail("hash", "must be 32 hexadecimal digits");
    }
    reader.milliseconds("age_ms", &entry.age, Duration::zero(), LongestAge);
    return entry;
}

} // namespace

std::string writeStateDump(const Fleet &fleet, const std::vector<CacheEntry> &cache, TimePoint now)
{
    json dump{{"live_nodes", fleet.liveNodes},
              {"leaving", fleet.leaving},
              {"engines", json::array()},
              {"cache", json::array()}};
    if (fleet.bundle) {
        dump["bundle"] = writeBundlePart(*fleet.bundle);
    }
    for (const EngineView &engine : fleet.engines) {
        dump["engines"].push_back(write(engine, now));
    }
    for (const CacheEntry &entry : cache) {
        const auto position = fleet.index ? fleet.index->position(entry.engine) : std::nullopt;
        if (position) {
            dump["cache"].push_back({{"engine", fleet.engines[*position].id.str()},
                                     {"incarnation", static_cast<std::uint64_t>(entry.incarnation)},
                                     {"hash", entry.hash.hex()},
                                     {"age_ms", millisecondsOf(entry.age)}});
        }
    }
    return dump.dump(1);
}

Outcome<StateDump, std::vector<FieldError>> readStateDump(std::string_view text, TimePoint now)
{
    std::vector<FieldError> errors;
    const json object = parseJsonObject(text, &errors);
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    StateDump dump;
    Bundle bundle;
    JsonReader reader(object, "", &errors);
    dump.fleet.liveNodes = std::max(readCount(reader, "live_nodes"), 1U);
    reader.object("bundle", [&](JsonReader &in) { bundle = readBundlePart(in); });
    reader.objects("engines",
                   [&](JsonReader &in) { dump.fleet.engines.push_back(readEngine(in, now)); });
    reader.objects("cache", [&](JsonReader &in) { dump.cache.push_back(readEntry(in)); });
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    dump.fleet.bundle = std::make_shared<const Bundle>(std::move(bundle));
    dump.fleet.index = indexEngines(dump.fleet.engines, nullptr);
    return dump;
}

} // namespace vanilladyke
