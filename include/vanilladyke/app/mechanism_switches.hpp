#pragma once

#include "vanilladyke/app/node_settings.hpp"
#include "vanilladyke/policy/mechanism.hpp"

namespace vanilladyke {

/// @brief Changes settings so that the mechanism has no effect. The only place that knows how each
/// one is switched off.
void switchOff(Mechanism mechanism, NodeSettings *settings);

} // namespace vanilladyke
