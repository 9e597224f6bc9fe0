#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The settings of one host: what a process must know before it has a bundle.
namespace vanilladyke {

/// @brief PEM files of one TLS listener; empty for plain text.
struct TlsFiles
{
    std::string certificate;
    std::string privateKey;
};

/// @brief How this node and its peers reach each other.
struct PeerSettings
{
    Endpoint listen;
    std::vector<Endpoint> seeds; ///< a few peers; the others are learned from them
    std::string publicKey;       ///< the fleet's, the same on all hosts
    std::string secretKeyFile;   ///< a file that holds the fleet's secret key
    std::string formerPublicKey; ///< accepted besides while keys are changed
};

/// @brief Everything in the settings file of one host.
struct HostSettings
{
    NodeId node;
    DataCentreId dataCentre;
    Endpoint callers; ///< where callers are served
    TlsFiles callersTls;
    BackendTls backendsTls;
    Endpoint operators;                ///< where operators are served
    std::optional<PeerSettings> peers; ///< none for a node on its own
    std::optional<Endpoint> log;       ///< the platform's log; none for a node on its own
    std::string logLevel = "info";
    std::string streamKey; ///< signs event ids: 64 hexadecimal digits, the same on all nodes
    Duration balancerLag = std::chrono::seconds(5); ///< until the balancer minds /readyz
    std::string bundleFile; ///< a bundle taken as accepted at start; for a first try without a log
};

/// @brief Reads settings and checks them; on failure every error is given.
[[nodiscard]] Outcome<HostSettings, std::vector<FieldError>> parseSettings(std::string_view text);

/// @brief Reads a whole file. @return one error if it can't be read
[[nodiscard]] Outcome<std::string, FieldError> readFile(const std::string &path);

} // namespace vanilladyke
