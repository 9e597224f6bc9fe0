#pragma once

#include "vanilladyke/base/log.hpp"

#include <string_view>

/// The names of log levels in settings files.
namespace vanilladyke {

/// @brief The severity that a log level of the settings names.
/// @return Severity::Info for any other name
[[nodiscard]] Severity severityOf(std::string_view level);

} // namespace vanilladyke
