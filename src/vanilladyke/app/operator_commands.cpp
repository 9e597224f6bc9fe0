#include "operator_commands.hpp"

#include "vanilladyke/app/command.hpp"
#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/model/bundle_record.hpp"
#include "vanilladyke/model/foreign_json.hpp"
#include "vanilladyke/model/json_reader.hpp"
#include "vanilladyke/platform/http_call.hpp"

#include <date/date.h>
#include <nlohmann/json.hpp>

#include <iostream>

namespace vanilladyke {

namespace {

using nlohmann::json;

/// Longer than a node takes to respond to a publication.
constexpr Duration ResponseTimeout = std::chrono::seconds(15);
constexpr int Ok = 200;
constexpr int Unauthorized = 401;

/// @brief The arguments common to all commands in this file.
struct NodeArguments
{
    explicit NodeArguments(TCLAP::CmdLine &line)
        : node("n", "node", "operator API address of any node", true, "", "IP:PORT", line)
        , keyFile("k", "operator-key", "file that holds the operator's bearer key", true, "",
                  "FILE", line)
        , asJson("j", "json", "print JSON", line)
    {}

    TCLAP::ValueArg<std::string> node;
    TCLAP::ValueArg<std::string> keyFile;
    TCLAP::SwitchArg asJson;
};

std::optional<HttpCaller> makeCaller(const NodeArguments &arguments)
{
    Endpoint endpoint;
    if (!parseEndpoint(arguments.node.getValue(), &endpoint)) {
        std::cerr << arguments.node.getValue() << ": is not an IP address and port\n";
        return std::nullopt;
    }
    const auto key = readFile(arguments.keyFile.getValue());
    if (!key) {
        std::cerr << arguments.keyFile.getValue() << ": " << key.error().reason << '\n';
        return std::nullopt;
    }
    HttpCaller caller(endpoint);
    caller.setBearer(key->substr(0, key->find_first_of(" \r\n")));
    return caller;
}

/// Parses a node's response; prints an error if it is not a valid response of the operator API.
std::optional<json> parseResponse(const Outcome<HttpAnswer, HttpFailure> &answer)
{
    if (!answer) {
        std::cerr << "no response from the node: " << answer.error().detail << '\n';
        return std::nullopt;
    }
    if (answer->status == Unauthorized) {
        std::cerr << "the node rejected the operator key (status 401)\n";
        return std::nullopt;
    }
    json parsed = parseForeignJsonOrDiscard(answer->body);
    if (parsed.is_discarded()) {
        std::cerr << "the node's response is not valid JSON (status " << answer->status << ")\n";
        return std::nullopt;
    }
    return parsed;
}

std::string formatTime(WallTime time)
{
    return date::format("%FT%TZ", std::chrono::time_point_cast<std::chrono::milliseconds>(time));
}

void describePublication(const json &result)
{
    const std::string outcome = result.value("outcome", "unknown");
    const std::string version = std::to_string(result.value("version", 0ULL));
    const std::string acceptedVersion = std::to_string(result.value("accepted_version", 0ULL));
    if (outcome == "accepted") {
        std::cout << "accepted: version " << version << ", digest " << result.value("digest", "")
                  << '\n';
        return;
    }
    if (outcome == "lost_race") {
        std::cerr << "not accepted: version " << acceptedVersion << " was published before it\n";
    } else if (outcome == "log_down") {
        std::cerr << "not published: the log is unreachable\n";
    } else if (outcome == "unknown") {
        std::cerr << "unknown whether it was published; check `bundle history` before you try "
                     "again\n";
    } else {
        std::cerr << "refused\n";
    }
    if (!result.value("detail", "").empty()) {
        std::cerr << "  " << result.value("detail", "") << '\n';
    }
    for (const json &error : result.value("errors", json::array())) {
        std::cerr << "  " << error.value("field", "") << ": " << error.value("reason", "") << " ("
                  << error.value("value", "") << ")\n";
    }
}

void describeStatus(const json &status)
{
    std::cout << "node " << status.value("node", "") << ": "
              << (status.value("ready", false)
                          ? "ready"
                          : "not ready, " + status.value("not_ready_reason", ""))
              << "\nbundle in force: version " << status.value("version", 0ULL) << ", digest "
              << status.value("digest", "")
              << "\nlog: " << (status.value("log_reachable", false) ? "reachable" : "down") << ' '
              << status.value("log_trouble", "") << '\n';
    for (const json &node : status.value("nodes", json::array())) {
        std::cout << "  " << node.value("node", "") << " (" << node.value("data_centre", "")
                  << "): " << (node.value("live", false) ? node.value("phase", "") : "dead")
                  << ", version " << node.value("bundle_version", 0ULL) << '\n';
    }
}

void describeHistory(const std::vector<HistoryEntry> &history)
{
    for (std::size_t i = 0; i < history.size(); ++i) {
        const HistoryEntry &entry = history[i];
        const bool last = i + 1 == history.size();
        std::cout << "version " << entry.version << "  in force from "
                  << formatTime(entry.acceptedAt) << " to "
                  << (last ? "now" : formatTime(history[i + 1].acceptedAt)) << "\n  digest "
                  << entry.digest << "\n  parent " << (entry.parent.empty() ? "none" : entry.parent)
                  << '\n';
        for (const VerifyKey &signer : entry.signers) {
            std::cout << "  signed by " << signer.hex() << '\n';
        }
    }
}

} // namespace

int publishFile(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Publishes a signed bundle through a node and waits for the outcome.", ' ',
                        ProgramVersion);
    NodeArguments node(line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "the signed bundle", true, "", "FILE", line);
    if (const auto exitCode = parseArguments(line, "bundle publish", arguments)) {
        return *exitCode;
    }
    const auto text = readFile(file.getValue());
    if (!text) {
        std::cerr << file.getValue() << ": " << text.error().reason << '\n';
        return CommandFailed;
    }
    auto caller = makeCaller(node);
    if (!caller) {
        return CommandUsageError;
    }
    const auto answer = caller->post("/operator/v1/bundles", *text, "application/json",
                                     MonotonicClock::now() + ResponseTimeout);
    if (!answer && answer.error().sent) {
        std::cerr << "unknown whether it was published: no response from the node ("
                  << answer.error().detail << "); check `bundle history`\n";
        return CommandFailed;
    }
    const auto result = parseResponse(answer);
    if (!result) {
        return CommandFailed;
    }
    if (node.asJson.getValue()) {
        std::cout << *result << '\n';
    } else {
        describePublication(*result);
    }
    return answer->status == Ok ? CommandDone : CommandFailed;
}

int printStatus(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints which bundle is in force on every node.", ' ', ProgramVersion);
    NodeArguments node(line);
    if (const auto exitCode = parseArguments(line, "bundle status", arguments)) {
        return *exitCode;
    }
    auto caller = makeCaller(node);
    if (!caller) {
        return CommandUsageError;
    }
    const auto status = parseResponse(
            caller->get("/operator/v1/status", MonotonicClock::now() + ResponseTimeout));
    if (!status) {
        return CommandFailed;
    }
    if (node.asJson.getValue()) {
        std::cout << *status << '\n';
    } else {
        describeStatus(*status);
    }
    return CommandDone;
}

int printHistory(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints the bundles in force over time, with digests and signers.", ' ',
                        ProgramVersion);
    NodeArguments node(line);
    if (const auto exitCode = parseArguments(line, "bundle history", arguments)) {
        return *exitCode;
    }
    auto caller = makeCaller(node);
    if (!caller) {
        return CommandUsageError;
    }
    const auto answer = parseResponse(
            caller->get("/operator/v1/history", MonotonicClock::now() + ResponseTimeout));
    if (!answer) {
        return CommandFailed;
    }
    const auto history = parseHistory(answer->dump());
    if (!history) {
        std::cerr << "the node's response is not a bundle history: " << history.error() << '\n';
        return CommandFailed;
    }
    if (node.asJson.getValue()) {
        std::cout << *answer << '\n';
    } else {
        describeHistory(*history);
    }
    return CommandDone;
}

} // namespace vanilladyke
