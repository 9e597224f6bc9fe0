#pragma once

#include "vanilladyke/app/node_settings.hpp"
#include "vanilladyke/policy/mechanism.hpp"

namespace vanilladyke {

/// @brief Changes the settings so that the mechanism has no effect. How each mechanism is disabled
/// is defined only here.
void switchOff(Mechanism mechanism, NodeSettings *settings);

} // namespace vanilladyke
