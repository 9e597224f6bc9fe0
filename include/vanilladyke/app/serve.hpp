#pragma once

#include "vanilladyke/app/settings.hpp"

namespace vanilladyke {

/// @brief Runs a node until SIGTERM or SIGINT. @return the exit code of the process
[[nodiscard]] int serve(const HostSettings &settings);

} // namespace vanilladyke
