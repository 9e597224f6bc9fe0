#include "vanilladyke/app/command.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <iostream>

namespace vanilladyke {

namespace {

constexpr mode_t OwnerOnly = 0600;
constexpr mode_t WorldReadable = 0644;

} // namespace

std::optional<int> parseArguments(TCLAP::CmdLine &line, const std::string &name,
                                  const std::vector<std::string> &arguments)
{
    std::vector<std::string> withName{"vanilladyke " + name};
    withName.insert(withName.end(), arguments.begin(), arguments.end());
    line.setExceptionHandling(false);
    try {
        line.parse(withName);
        return std::nullopt;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus() == 0 ? CommandDone : CommandUsageError;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << name << ": " << error.error() << ' ' << error.argId() << '\n';
        return CommandUsageError;
    }
}

bool writeFile(const std::string &path, const std::string &content, bool secret)
{
    const int file = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                          secret ? OwnerOnly : WorldReadable);
    const bool written =
            file >= 0
            && write(file, content.data(), content.size()) == static_cast<ssize_t>(content.size());
    if (!written) {
        std::cerr << path << ": " << std::strerror(errno) << '\n';
    }
    if (file >= 0) {
        close(file);
    }
    return written;
}

} // namespace vanilladyke
