#include "vanilladyke/app/explain_command.hpp"

#include "vanilladyke/app/command.hpp"
#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/model/json_reader.hpp"
#include "vanilladyke/policy/explain.hpp"
#include "vanilladyke/policy/request_timeline.hpp"
#include "vanilladyke/policy/state_dump.hpp"

#include <iostream>
#include <optional>
#include <sstream>

namespace vanilladyke {

namespace {

constexpr std::size_t ViewBytes = 4U << 20U;
/// Any seed will do: it only breaks ties between candidates of about the same cost.
constexpr std::uint64_t Seed = 1;

std::optional<StateDump> loadDump(const std::string &path, TimePoint now)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": " << text.error().reason << '\n';
        return std::nullopt;
    }
    auto dump = readStateDump(*text, now);
    if (!dump) {
        std::cerr << describe(path, dump.error());
        return std::nullopt;
    }
    return std::move(*dump);
}

/// Loads the request and runs the filters on it, which parse it and compute its prefix chain.
std::optional<RequestContext> loadRequest(const std::string &path, const std::string &customer,
                                          std::shared_ptr<const Fleet> fleet, TimePoint now)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": " << text.error().reason << '\n';
        return std::nullopt;
    }
    RequestContext context;
    context.path = text->find("\"messages\"") == std::string::npos ? "/v1/completions"
                                                                   : "/v1/chat/completions";
    context.body = *text;
    context.customer = CustomerId(customer);
    context.arrivedAt = now;
    context.fleet = std::move(fleet);
    auto refusal = ParseCompletion{}(context);
    if (!refusal) {
        refusal = CutPrefixes{}(context);
    }
    if (refusal) {
        std::cerr << path << ": " << refusal->detail << '\n';
        return std::nullopt;
    }
    return context;
}

CacheView cacheViewOf(const StateDump &dump, TimePoint now)
{
    CacheView view(ViewBytes);
    for (const EngineView &engine : dump.fleet.engines) {
        view.setIncarnation(engine.key, engine.incarnation, TimePoint::min());
    }
    for (const CacheEntry &entry : dump.cache) {
        view.stored(entry.engine, entry.incarnation, entry.hash, now - entry.age);
    }
    return view;
}

Placement repeatPlacement(const RequestContext &context, const CacheView &view, TimePoint now)
{
    PlacementRequest request;
    request.customer = context.customer;
    request.model = context.model;
    request.chain = context.chain;
    request.promptTokens = context.promptTokens;
    request.answerTokens = context.answerTokens;
    request.firstTokenDeadline = now + Limits{}.firstTokenDeadline;
    const auto holders = view.holders(request.chain, now);
    const Survival survival;
    const InFlight inFlight;
    const SlotForecast slots;
    Random random(Seed);
    return place(request, *context.fleet, {holders, survival, inFlight, slots, 1, {}}, now, random);
}

void printJson(const RequestContext &context, const Placement &placement)
{
    nlohmann::json out{{"reason", placement.reason}, {"candidates", nlohmann::json::array()}};
    for (const Candidate &candidate : placement.candidates) {
        out["candidates"].push_back(
                {{"engine", context.fleet->engines[candidate.engine].id.str()},
                 {"expected_cached_tokens", candidate.expectedCachedTokens},
                 {"wait_s", std::chrono::duration<double>(candidate.wait).count()},
                 {"prefill_s", std::chrono::duration<double>(candidate.prefill).count()},
                 {"cost", candidate.cost}});
    }
    if (placement.winner) {
        out["winner"] = context.fleet->engines[placement.winner->engine].id.str();
    }
    std::cout << out.dump(1) << '\n';
}

nlohmann::json toJson(const std::vector<LogLine> &lines)
{
    nlohmann::json out = nlohmann::json::array();
    for (const LogLine &line : lines) {
        out.push_back(line.fields);
    }
    return out;
}

/// Reconstructs a request's timeline from node logs, which may be given in any order.
int explainFromLogs(const std::string &id, const std::vector<std::string> &paths, bool asJson)
{
    std::vector<LogLine> lines;
    for (const std::string &path : paths) {
        const auto text = readFile(path);
        if (!text) {
            std::cerr << path << ": " << text.error().reason << '\n';
            return CommandFailed;
        }
        std::istringstream stream(*text);
        for (std::string line; std::getline(stream, line);) {
            if (auto parsed = parseLogLine(line)) {
                lines.push_back(std::move(*parsed));
            }
        }
    }
    const RequestTimeline timeline = buildTimeline(lines, id);
    if (asJson) {
        const nlohmann::json out{{"id", id},
                                 {"before", toJson(timeline.context)},
                                 {"lines", toJson(timeline.own)},
                                 {"verdict", timeline.verdict}};
        std::cout << out.dump(1) << '\n';
    } else {
        for (const LogLine &line : timeline.context) {
            std::cout << "before  " << line.text << '\n';
        }
        for (const LogLine &line : timeline.own) {
            std::cout << "request " << line.text << '\n';
        }
        std::cout << timeline.verdict << '\n';
    }
    return timeline.own.empty() ? CommandFailed : CommandDone;
}

} // namespace

int runExplain(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line(
            "With --id and node logs: prints the timeline of a request. Otherwise repeats a "
            "placement from a node's state dump and prints the reason for its choice.",
            ' ', ProgramVersion);
    TCLAP::ValueArg<std::string> id("i", "id", "the request's id", false, "", "ID", line);
    TCLAP::ValueArg<std::string> state("s", "state", "state dump from /operator/v1/state", false,
                                       "", "FILE", line);
    TCLAP::ValueArg<std::string> body("r", "request", "the request's JSON body", false, "", "FILE",
                                      line);
    TCLAP::ValueArg<std::string> customer("c", "customer", "the customer that sent the request",
                                          false, "", "ID", line);
    TCLAP::SwitchArg asJson("j", "json", "print JSON", line);
    TCLAP::UnlabeledMultiArg<std::string> logs("logs", "log files of nodes", false, "LOG", line);
    if (const auto exitCode = parseArguments(line, "explain", arguments)) {
        return *exitCode;
    }
    if (id.isSet() && !logs.getValue().empty()) {
        return explainFromLogs(id.getValue(), logs.getValue(), asJson.getValue());
    }
    if (!state.isSet() || !body.isSet() || !customer.isSet()) {
        std::cerr << "explain: give --id and logs, or --state, --request and --customer\n";
        return CommandUsageError;
    }
    const TimePoint now = MonotonicClock::now();
    const std::optional<StateDump> dump = loadDump(state.getValue(), now);
    if (!dump) {
        return CommandFailed;
    }
    const auto fleet = std::make_shared<const Fleet>(dump->fleet);
    const auto context = loadRequest(body.getValue(), customer.getValue(), fleet, now);
    if (!context) {
        return CommandFailed;
    }
    const Placement placement = repeatPlacement(*context, cacheViewOf(*dump, now), now);
    if (asJson.getValue()) {
        printJson(*context, placement);
    } else {
        std::cout << explainText(context->promptTokens, *fleet, placement);
    }
    return placement.winner ? CommandDone : CommandFailed;
}

} // namespace vanilladyke
