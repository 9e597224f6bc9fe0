#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/operators/operator_server.hpp"
#include "vanilladyke/platform/backend_client.hpp"
#include "vanilladyke/policy/bundle_fold.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The settings of one host, which a process needs before it has loaded a bundle.
namespace vanilladyke {

/// @brief PEM files of one TLS listener; both paths are empty for plain text.
struct TlsFiles
{
    std::string certificate;
    std::string privateKey;
};

/// @brief Addresses and keys for the connections between this node and its peers.
struct PeerSettings
{
    Endpoint listen;
    std::vector<Endpoint> seeds; ///< initial peers; the others are discovered through them
    std::string publicKey;       ///< of the fleet; the same on all hosts
    std::string secretKeyFile;   ///< path of the file with the fleet's secret key
    std::string formerPublicKey; ///< also accepted during key rotation
};

/// @brief Addresses of the platform's services.
struct PlatformSettings
{
    Endpoint log;
    std::optional<Endpoint> hosts;                 ///< of the host list; nullopt if it is not used
    Duration logRetention = std::chrono::hours(1); ///< retention period of log records
};

/// @brief Everything in the settings file of one host.
struct HostSettings
{
    NodeId node;
    DataCentreId dataCentre;
    Endpoint callers; ///< listen address for callers
    TlsFiles callersTls;
    BackendTls backendsTls;
    Endpoint operators;                ///< listen address for operators
    std::optional<PeerSettings> peers; ///< nullopt for a single node
    std::optional<PlatformSettings> platform;
    TrustedSigners trusted;                ///< signers whose bundle signatures are accepted
    std::vector<OperatorKey> operatorKeys; ///< keys that grant access to the operator API
    std::string logLevel = "info";
    std::string streamKey; ///< signs event ids: 64 hexadecimal digits, the same on all nodes
    Duration balancerLag = std::chrono::seconds(5); ///< until the balancer reacts to /readyz
};

/// @brief Parses and validates settings. @return all errors on failure
[[nodiscard]] Outcome<HostSettings, std::vector<FieldError>> parseSettings(std::string_view text);

/// @brief Reads a whole file. @return an error if it can't be read
[[nodiscard]] Outcome<std::string, FieldError> readFile(const std::string &path);

} // namespace vanilladyke
