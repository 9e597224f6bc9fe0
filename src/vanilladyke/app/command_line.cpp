#include "vanilladyke/app/command_line.hpp"

#include "vanilladyke/app/bundle_commands.hpp"
#include "vanilladyke/app/explain_command.hpp"
#include "vanilladyke/app/node_command.hpp"
#include "vanilladyke/app/serve.hpp"
#include "vanilladyke/model/json_reader.hpp"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace vanilladyke {

namespace {

constexpr int UsageError = 2;
constexpr const char *Version = "0.1.0";
constexpr const char *Usage =
        "usage: vanilladyke COMMAND [--help]\n"
        "  serve --settings FILE     run a node\n"
        "  node [--settings FILE] [--check]\n"
        "                            run a node on the platform\n"
        "  settings check FILE       check host settings\n"
        "  keys new|show             create or show keys of operators, nodes and customers\n"
        "  bundle check|sign|publish|status|history\n"
        "                            manage configuration bundles\n"
        "  explain --id ID LOG...\n"
        "  explain --state FILE --request FILE --customer ID\n"
        "                            explain how a request was routed\n";

std::optional<HostSettings> loadSettings(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": " << text.error().reason << '\n';
        return std::nullopt;
    }
    auto settings = parseSettings(*text);
    if (!settings) {
        std::cerr << describe(path, settings.error());
        return std::nullopt;
    }
    return std::move(*settings);
}

int runServe(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Runs a node.", ' ', Version);
    TCLAP::ValueArg<std::string> file("s", "settings", "host settings", true, "", "FILE", line);
    line.parse(arguments);
    const std::optional<HostSettings> settings = loadSettings(file.getValue());
    return settings ? serve(*settings) : EXIT_FAILURE;
}

int runSettings(std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Checks host settings.", ' ', Version);
    TCLAP::UnlabeledValueArg<std::string> verb("verb", "check", true, "", "check", line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "host settings", true, "", "FILE", line);
    line.parse(arguments);
    if (verb.getValue() != "check") {
        std::cerr << "settings: unknown verb " << verb.getValue() << '\n';
        return UsageError;
    }
    return loadSettings(file.getValue()) ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int runCommandLine(int argc, const char *const *argv)
{
    const std::string command = argc > 1 ? argv[1] : "";
    std::vector<std::string> arguments(argv + 1, argv + argc);
    if (command == "serve") {
        return runServe(arguments);
    }
    if (command == "node") {
        return runNode({argv + 2, argv + argc});
    }
    const std::string verb = argc > 2 ? argv[2] : "";
    const std::vector<std::string> rest(argv + std::min(argc, 3), argv + argc);
    if (command == "keys") {
        return runKeys(verb, rest);
    }
    if (command == "bundle") {
        return runBundle(verb, rest);
    }
    if (command == "explain") {
        return runExplain({argv + 2, argv + argc});
    }
    if (command == "settings") {
        return runSettings(arguments);
    }
    const bool help = command == "--help" || command == "-h";
    (help ? std::cout : std::cerr) << Usage;
    return help ? EXIT_SUCCESS : UsageError;
}

} // namespace vanilladyke
