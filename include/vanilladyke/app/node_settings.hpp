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

/// @brief Settings of a node that routes by host and path from the platform's store.
struct NodeSettings
{
    std::string node;
    std::string address; ///< IP number; with the name it tells one machine from its successor
    Endpoint store;
    Endpoint peers;     ///< where this node hears from others, by datagrams
    Endpoint questions; ///< where it answers those that it reads the store for
    ListenSettings listen;
    TrafficSettings traffic;
    ControlSettings control;
    FollowLimits follow;
    Duration grace = std::chrono::seconds(8); ///< from SIGTERM until the process is killed
    std::string logLevel = "info";
};

/// @brief Reads settings and checks them; on failure every error is given.
[[nodiscard]] Outcome<NodeSettings, std::vector<FieldError>>
parseNodeSettings(std::string_view text);

} // namespace vanilladyke
