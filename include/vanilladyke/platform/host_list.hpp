#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/http_call.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The platform's host list.
///
/// Protocol (HTTP/1.1, JSON):
///   GET /v1/hosts
///        200 {"hosts": [{"endpoint": "IP:PORT", "kind": "entry" | "backend",
///                        "state": "live" | "leaving"}]}
namespace vanilladyke {

/// @brief What runs on a host.
enum class HostKind { Entry, Backend };

/// @brief One process as the host list shows it.
struct ListedHost
{
    Endpoint endpoint; ///< of an entry host, where its peers reach it
    HostKind kind = HostKind::Backend;
    bool leaving = false;

    bool operator==(const ListedHost &) const = default;
};

/// @brief Reads the list's answer. @return why it is none of the protocol's
[[nodiscard]] Outcome<std::vector<ListedHost>, std::string> parseHostList(std::string_view body);

/// @brief Asks for the host list. Each thread needs a client of its own.
class HostListClient
{
public:
    explicit HostListClient(const Endpoint &endpoint);

    /// @brief The list now. @return the reason if there is no answer by the deadline
    [[nodiscard]] Outcome<std::vector<ListedHost>, std::string> read(TimePoint deadline);

private:
    HttpCaller m_http;
};

} // namespace vanilladyke
