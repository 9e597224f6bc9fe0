#include "vanilladyke/app/serve.hpp"

#include "vanilladyke/app/log_level.hpp"
#include "vanilladyke/app/node.hpp"
#include "vanilladyke/app/peer_setup.hpp"
#include "vanilladyke/app/shutdown.hpp"
#include "vanilladyke/base/log.hpp"

#include <array>
#include <csignal>
#include <optional>

namespace vanilladyke {

namespace {

/// Returns the first TLS file in the settings that can't be read, or nullopt if all can.
std::optional<FieldError> unreadableTlsFile(const HostSettings &settings)
{
    const std::array<std::pair<const char *, const std::string *>, 3> files{{
            {"callers_tls.certificate", &settings.callersTls.certificate},
            {"callers_tls.private_key", &settings.callersTls.privateKey},
            {"backends_tls.authority", &settings.backendsTls.authorityFile},
    }};
    for (const auto &[field, file] : files) {
        const auto content = file->empty() ? Outcome<std::string, FieldError>() : readFile(*file);
        if (!content) {
            return FieldError{field, *file, content.error().reason};
        }
    }
    return std::nullopt;
}

int reportRefused(const FieldError &error)
{
    LogEvent("settings_refused", Severity::Error)
            .field("field", error.field)
            .field("value", error.value)
            .field("reason", error.reason);
    return EXIT_FAILURE;
}

} // namespace

int serve(const HostSettings &settings)
{
    initializeLog(severityOf(settings.logLevel), settings.node.str());
    const sigset_t signals = blockStopSignals();
    std::signal(SIGPIPE, SIG_IGN);
    const Outcome<PeerKeys, FieldError> peerKeys =
            settings.peers ? loadPeerKeys(*settings.peers) : newPeerKeys();
    if (!peerKeys) {
        return reportRefused(peerKeys.error());
    }
    if (const auto unreadable = unreadableTlsFile(settings)) {
        return reportRefused(*unreadable);
    }
    Node node(settings, *peerKeys);
    if (const auto bindError = node.bind()) {
        return reportRefused(*bindError);
    }
    node.run(signals);
    LogEvent("stopped").field("exit", EXIT_SUCCESS);
    return EXIT_SUCCESS;
}

} // namespace vanilladyke
