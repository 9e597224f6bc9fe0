#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/http_call.hpp"

#include <string>
#include <string_view>
#include <vector>

/// Client for the platform's host list.
///
/// Protocol (HTTP/1.1, JSON):
///   GET /v1/hosts
///        200 {"hosts": [{"endpoint": "IP:PORT", "kind": "entry" | "backend",
///                        "state": "live" | "leaving"}]}
namespace vanilladyke {

/// @brief Kind of process that runs on a host.
enum class HostKind { Entry, Backend };

/// @brief One entry of the host list.
struct ListedHost
{
    Endpoint endpoint; ///< for an entry host, its address for peers
    HostKind kind = HostKind::Backend;
    bool leaving = false;

    bool operator==(const ListedHost &) const = default;
};

/// @brief Parses the response body. @return the error if it violates the protocol
[[nodiscard]] Outcome<std::vector<ListedHost>, std::string> parseHostList(std::string_view body);

/// @brief Fetches the host list. Not thread-safe; each thread needs its own client.
class HostListClient
{
public:
    explicit HostListClient(const Endpoint &endpoint);

    /// @brief Fetches the current list. @return the error if there is no valid response by the
    /// deadline
    [[nodiscard]] Outcome<std::vector<ListedHost>, std::string> read(TimePoint deadline);

private:
    HttpCaller m_http;
};

} // namespace vanilladyke
