#include "vanilladyke/app/bundle_commands.hpp"

#include "vanilladyke/app/command.hpp"
#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/model/bundle_check.hpp"
#include "vanilladyke/model/bundle_record.hpp"
#include "vanilladyke/model/json_reader.hpp"

#include "operator_commands.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace vanilladyke {

namespace {

using nlohmann::json;

std::optional<std::string> readFileOrReport(const std::string &path)
{
    auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": " << text.error().reason << '\n';
        return std::nullopt;
    }
    return std::move(*text);
}

/// Parses a signed bundle; any other text is treated as a bundle without signatures.
SignedBundle bundleFromText(const std::string &text)
{
    auto parsed = parseSignedBundle(text);
    return parsed ? std::move(*parsed) : SignedBundle{text, {}};
}

json toJson(const std::vector<FieldError> &errors)
{
    json list = json::array();
    for (const FieldError &error : errors) {
        list.push_back({{"field", error.field}, {"value", error.value}, {"reason", error.reason}});
    }
    return list;
}

int checkFile(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Checks a bundle and prints every error with field, value and reason.", ' ',
                        ProgramVersion);
    TCLAP::ValueArg<std::string> against("a", "against", "the preceding bundle", false, "", "FILE",
                                         line);
    TCLAP::SwitchArg asJson("j", "json", "print JSON", line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "the bundle", true, "", "FILE", line);
    if (const auto exitCode = parseArguments(line, "bundle check", arguments)) {
        return *exitCode;
    }
    const auto text = readFileOrReport(file.getValue());
    if (!text) {
        return CommandFailed;
    }
    const SignedBundle bundle = bundleFromText(*text);
    std::vector<FieldError> errors = checkBundle(bundle.text);
    if (!against.getValue().empty()) {
        const auto previous = readFileOrReport(against.getValue());
        if (!previous) {
            return CommandFailed;
        }
        const auto more = checkSuccessor(bundle.text, bundleFromText(*previous).text);
        errors.insert(errors.end(), more.begin(), more.end());
    }
    const std::string digest = digestOf(bundle.text);
    if (asJson.getValue()) {
        std::cout << json{{"ok", errors.empty()}, {"digest", digest}, {"errors", toJson(errors)}}
                  << '\n';
    } else if (errors.empty()) {
        std::cout << file.getValue() << ": ok, digest " << digest << '\n';
    } else {
        std::cerr << describe(file.getValue(), errors);
    }
    return errors.empty() ? CommandDone : CommandFailed;
}

int signFile(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Adds a signature to a bundle. The first signer passes the bundle file, "
                        "each further signer the file written by the previous one.",
                        ' ', ProgramVersion);
    TCLAP::ValueArg<std::string> keyFile("k", "key", "signing key from keys new", true, "", "FILE",
                                         line);
    TCLAP::ValueArg<std::string> out("o", "out", "the signed bundle", true, "", "FILE", line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "the bundle", true, "", "FILE", line);
    if (const auto exitCode = parseArguments(line, "bundle sign", arguments)) {
        return *exitCode;
    }
    const auto text = readFileOrReport(file.getValue());
    const auto keyText = readFileOrReport(keyFile.getValue());
    if (!text || !keyText) {
        return CommandFailed;
    }
    const auto key = parseSigningKey(keyText->substr(0, keyText->find_first_of(" \r\n")));
    if (!key) {
        std::cerr << keyFile.getValue() << ": is not a signing key\n";
        return CommandFailed;
    }
    SignedBundle bundle = bundleFromText(*text);
    const std::vector<FieldError> errors = checkBundle(bundle.text);
    if (!errors.empty()) {
        std::cerr << describe(file.getValue(), errors);
        return CommandFailed;
    }
    const Signature signature = signBundleText(*key, bundle.text);
    std::erase_if(bundle.signatures,
                  [&](const Signature &each) { return each.signer == signature.signer; });
    bundle.signatures.push_back(signature);
    if (!writeFile(out.getValue(), writeSignedBundle(bundle) + "\n", false)) {
        return CommandFailed;
    }
    std::cout << "signed by " << signature.signer.hex() << ", digest " << digestOf(bundle.text)
              << ", " << bundle.signatures.size() << " signature(s)\n";
    return CommandDone;
}

} // namespace

int runBundle(const std::string &verb, const std::vector<std::string> &arguments)
{
    if (verb == "check") {
        return checkFile(arguments);
    }
    if (verb == "sign") {
        return signFile(arguments);
    }
    if (verb == "publish") {
        return publishFile(arguments);
    }
    if (verb == "status") {
        return printStatus(arguments);
    }
    if (verb == "history") {
        return printHistory(arguments);
    }
    const bool help = verb == "--help" || verb == "-h";
    (help ? std::cout : std::cerr)
            << "usage: vanilladyke bundle check|sign|publish|status|history [--help]\n";
    return help ? CommandDone : CommandUsageError;
}

} // namespace vanilladyke
