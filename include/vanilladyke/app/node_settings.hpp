#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/node/control_plane.hpp"
#include "vanilladyke/node/state_follower.hpp"
#include "vanilladyke/traffic/traffic_server.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace vanilladyke {

/// @brief Settings of a node that routes by host and path with the state in the platform's store.
struct NodeSettings
{
    std::string node;
    /// IP address; with the name it distinguishes a machine from its successor.
    std::string address;
    Endpoint store;
    Endpoint peers;   ///< UDP address for updates from other nodes
    Endpoint queries; ///< address for queries of nodes for which it reads the store
    ListenSettings listen;
    TrafficSettings traffic;
    ControlSettings control;
    FollowLimits follow;
    Duration grace = std::chrono::seconds(8); ///< time from SIGTERM until the process is killed
    std::string logLevel = "info";
};

/// @brief Parses and validates settings. @return all errors on failure
[[nodiscard]] Outcome<NodeSettings, std::vector<FieldError>>
parseNodeSettings(std::string_view text);

} // namespace vanilladyke
