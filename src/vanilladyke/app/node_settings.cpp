#include "vanilladyke/app/node_settings.hpp"

#include "vanilladyke/app/mechanism_switches.hpp"
#include "vanilladyke/model/json_reader.hpp"

namespace vanilladyke {

namespace {

constexpr Duration MinDuration = std::chrono::milliseconds(1);
constexpr Duration MaxDuration = std::chrono::hours(1);
/// A key's freshness proof must still be within the bound when its request is forwarded.
constexpr Duration KeyMargin = std::chrono::milliseconds(300);
/// Of the process's memory; the rest is for the state, the buffers of connections and the program.
constexpr double BufferPart = 0.5;
constexpr std::uint64_t MaxExtraRetries = 1'000'000;

void readMemory(JsonReader &reader, std::size_t *bufferBytes)
{
    if (!reader.has("memory_mb")) {
        return;
    }
    constexpr double MaxMegabytes = 1e6;
    constexpr double Megabyte = 1024.0 * 1024.0;
    double megabytes = 0; // no limit
    reader.number("memory_mb", &megabytes, 0, MaxMegabytes);
    if (megabytes > 0) {
        *bufferBytes = static_cast<std::size_t>(megabytes * BufferPart * Megabyte);
    }
}

void readRetryLimits(JsonReader &reader, FleetRetryLimits *limits)
{
    reader.allowOnly({"ratio", "extra", "window_ms"});
    reader.number("ratio", &limits->ratio, 0, 1);
    reader.number("extra", &limits->extra, 0, static_cast<double>(MaxExtraRetries));
    reader.milliseconds("window_ms", &limits->window, MinDuration, MaxDuration);
}

void readQuotaTolerance(JsonReader &reader, QuotaTolerance *tolerance)
{
    constexpr double MaxSlack = 1e12;
    reader.allowOnly({"window_ms", "over", "slack"});
    reader.milliseconds("window_ms", &tolerance->window, MinDuration, MaxDuration);
    reader.number("over", &tolerance->over, 0, 1);
    reader.number("slack", &tolerance->slack, 0, MaxSlack);
}

void readPenalty(JsonReader &reader, const char *name, Millis *penalty)
{
    constexpr double MaxMillis = 1e6;
    double value = penalty->count();
    reader.number(name, &value, 0, MaxMillis);
    *penalty = Millis(value);
}

void readPlacement(JsonReader &reader, BackendCostParameters *rates)
{
    constexpr double MaxFactor = 1000;
    constexpr std::uint64_t MaxCandidates = 10'000;
    constexpr double MaxWaitFactor = 10;
    reader.allowOnly({"copy_reads", "away_reads", "old_weights_part", "old_weights_waits",
                      "other_centre_ms", "reach", "homes", "least_home_reading_ms",
                      "most_wait_targets"});
    reader.number("copy_reads", &rates->copyPenalty, 0, MaxFactor);
    reader.number("away_reads", &rates->nonPreferredPenalty, 0, MaxFactor);
    reader.number("most_wait_targets", &rates->maxWaitFraction, 0, MaxFactor);
    reader.number("old_weights_part", &rates->oldWeightsPenalty, 0, 1);
    reader.number("old_weights_waits", &rates->oldWeightsWaitFactor, 0, MaxWaitFactor);
    readPenalty(reader, "other_centre_ms", &rates->crossDataCentrePenalty);
    reader.integer("reach", &rates->candidateCount, 1, MaxCandidates);
    reader.integer("homes", &rates->preferredCount, 1, MaxCandidates);
    readPenalty(reader, "least_home_reading_ms", &rates->minPreferredPrefill);
}

void readRollout(JsonReader &reader, RolloutTerms *terms)
{
    reader.allowOnly({"loading_part", "out_part"});
    reader.number("loading_part", &terms->loadingPart, 0, 1);
    reader.number("out_part", &terms->orderedPart, 0, 1);
}

/// Reads the names of the mechanisms to switch off and reports each unknown name as an error.
void readDisabledMechanisms(JsonReader &reader, NodeSettings *settings)
{
    if (!reader.has("off")) {
        return;
    }
    std::vector<std::string> names;
    reader.texts("off", &names);
    for (const std::string &name : names) {
        if (const auto mechanism = findMechanism(name)) {
            switchOff(*mechanism, settings);
        } else {
            reader.fail("off", "unknown mechanism: " + name);
        }
    }
}

/// Reads the requests that an operator has released from quarantine although engines ended while
/// serving them.
void readFreedRequests(JsonReader &reader, std::vector<WorkDigest> *freed)
{
    if (!reader.has("freed_requests")) {
        return;
    }
    std::vector<std::string> texts;
    reader.texts("freed_requests", &texts);
    for (const std::string &text : texts) {
        if (const auto digest = parseWorkDigest(text)) {
            freed->push_back(*digest);
        } else {
            reader.fail("freed_requests", "not a digest of 32 hexadecimal digits: " + text);
        }
    }
}

} // namespace

Outcome<NodeSettings, std::vector<FieldError>> parseNodeSettings(std::string_view text)
{
    std::vector<FieldError> errors;
    const nlohmann::json object = parseJsonObject(text, &errors);
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    NodeSettings settings;
    JsonReader reader(object, "", &errors);
    reader.allowOnly(
            {"node",        "address",          "data_centre",  "callers",         "ready",
             "ready_path",  "metrics",          "peers",        "questions",       "store",
             "first_start", "keys_valid_ms",    "fails_closed", "weights_time_ms", "order_gap_ms",
             "drain_ms",    "configuration_ms", "grace_ms",     "second_sends",    "quota",
             "placement",   "rollout",          "off",          "freed_requests",  "log_level",
             "memory_mb"});
    reader.text("node", &settings.node);
    reader.text("address", &settings.address);
    reader.id("data_centre", &settings.traffic.dataCentre);
    reader.endpoint("callers", &settings.listen.callers);
    reader.endpoint("ready", &settings.listen.ready);
    settings.listen.readyPath = "/readiness";
    reader.text("ready_path", &settings.listen.readyPath, false);
    if (reader.has("metrics")) {
        reader.endpoint("metrics", &settings.listen.metrics.emplace());
    }
    reader.endpoint("store", &settings.store);
    reader.endpoint("peers", &settings.peers);
    settings.listen.relays = settings.peers;
    settings.queries = {settings.peers.host, static_cast<std::uint16_t>(settings.peers.port + 1)};
    reader.endpoint("questions", &settings.queries, false);
    reader.boolean("first_start", &settings.traffic.isFirstStart);
    Duration keysValid = settings.traffic.keysValidFor + KeyMargin;
    reader.milliseconds("keys_valid_ms", &keysValid, KeyMargin + MinDuration, MaxDuration);
    settings.traffic.keysValidFor = keysValid - KeyMargin;
    reader.boolean("fails_closed", &settings.traffic.failsClosed);
    reader.milliseconds("weights_time_ms", &settings.traffic.rates.oldWeightsPeriod, MinDuration,
                        MaxDuration);
    reader.milliseconds("order_gap_ms", &settings.control.lease.gap, MinDuration, MaxDuration);
    reader.milliseconds("drain_ms", &settings.follow.drain, MinDuration, MaxDuration);
    reader.milliseconds("configuration_ms", &settings.follow.apply, MinDuration, MaxDuration);
    reader.milliseconds("grace_ms", &settings.grace, MinDuration, MaxDuration);
    readMemory(reader, &settings.traffic.bufferBytes);
    if (reader.has("second_sends")) {
        reader.object("second_sends", [&settings](JsonReader &inner) {
            readRetryLimits(inner, &settings.traffic.fleetRetries);
        });
    }
    if (reader.has("quota")) {
        reader.object("quota", [&settings](JsonReader &inner) {
            readQuotaTolerance(inner, &settings.traffic.quotaTolerance);
        });
    }
    if (reader.has("placement")) {
        reader.object("placement", [&settings](JsonReader &inner) {
            readPlacement(inner, &settings.traffic.rates);
        });
    }
    settings.control.rollout.allowed = settings.traffic.rates.oldWeightsPeriod;
    if (reader.has("rollout")) {
        reader.object("rollout", [&settings](JsonReader &inner) {
            readRollout(inner, &settings.control.rollout);
        });
    }
    readDisabledMechanisms(reader, &settings);
    readFreedRequests(reader, &settings.traffic.releasedRequests);
    reader.text("log_level", &settings.logLevel, false);
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    settings.control.self = settings.node + "@" + settings.address;
    settings.traffic.self = hashOfName(settings.control.self);
    return settings;
}

} // namespace vanilladyke
