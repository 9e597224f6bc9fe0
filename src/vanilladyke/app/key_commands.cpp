#include "vanilladyke/app/bundle_commands.hpp"
#include "vanilladyke/app/command.hpp"
#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/model/signing.hpp"
#include "vanilladyke/peers/peer_transport.hpp"

#include <iostream>

namespace vanilladyke {

namespace {

std::string trimmed(const std::string &text)
{
    const std::size_t end = text.find_last_not_of(" \n\r\t");
    return end == std::string::npos ? "" : text.substr(0, end + 1);
}

/// Derives the public part of a signing key, a peer key or an operator's bearer key; the kind is
/// detected from the text.
std::string publicPartOf(const std::string &secret)
{
    if (const auto signing = parseSigningKey(secret)) {
        return verifyKeyOf(*signing).hex();
    }
    if (isPeerKey(secret)) {
        return publicPeerKey(secret);
    }
    return digestOf(secret);
}

int newKey(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Creates a secret key, writes it to a file that only its owner can read, "
                        "and prints its public part or digest for settings or bundles.",
                        ' ', ProgramVersion);
    std::vector<std::string> kinds{"signing", "peers", "bearer"};
    TCLAP::ValuesConstraint<std::string> constraint(kinds);
    TCLAP::ValueArg<std::string> kind("k", "kind",
                                      "signing: signs bundles; peers: connections between nodes; "
                                      "bearer: authenticates an operator or a customer",
                                      false, "signing", &constraint, line);
    TCLAP::UnlabeledValueArg<std::string> file("file", "output file for the key", true, "", "FILE",
                                               line);
    if (const auto exitCode = parseArguments(line, "keys new", arguments)) {
        return *exitCode;
    }
    const SigningKey random = newSigningKey();
    std::string secret = random.hex();
    if (kind.getValue() == "peers") {
        secret = newPeerKeys().secretKey;
    } else if (kind.getValue() == "bearer") {
        secret = digestOf(secret);
    }
    if (!writeFile(file.getValue(), secret + "\n", true)) {
        return CommandFailed;
    }
    std::cout << publicPartOf(secret) << '\n';
    return CommandDone;
}

int showKey(const std::vector<std::string> &arguments)
{
    TCLAP::CmdLine line("Prints the public part or digest of a secret key for settings or bundles.",
                        ' ', ProgramVersion);
    TCLAP::UnlabeledValueArg<std::string> file("file", "the key", true, "", "FILE", line);
    if (const auto exitCode = parseArguments(line, "keys show", arguments)) {
        return *exitCode;
    }
    const auto text = readFile(file.getValue());
    if (!text) {
        std::cerr << file.getValue() << ": " << text.error().reason << '\n';
        return CommandFailed;
    }
    std::cout << publicPartOf(trimmed(*text)) << '\n';
    return CommandDone;
}

} // namespace

int runKeys(const std::string &verb, const std::vector<std::string> &arguments)
{
    if (verb == "new") {
        return newKey(arguments);
    }
    if (verb == "show") {
        return showKey(arguments);
    }
    const bool help = verb == "--help" || verb == "-h";
    (help ? std::cout : std::cerr) << "usage: vanilladyke keys new|show [--help]\n";
    return help ? CommandDone : CommandUsageError;
}

} // namespace vanilladyke
