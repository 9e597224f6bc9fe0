#pragma once

#include "vanilladyke/app/settings.hpp"

namespace vanilladyke {

/// @brief Runs a node until SIGTERM or SIGINT. @return the process's exit code
[[nodiscard]] int serve(const HostSettings &settings);

} // namespace vanilladyke
