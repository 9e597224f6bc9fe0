#pragma once

#include "vanilladyke/model/bundle.hpp"

#include <cstddef>
#include <string>

namespace vanilladyke {

/// @brief A bundle with so many customers and engines, all alike but for their names.
[[nodiscard]] Bundle syntheticBundle(std::size_t customers, std::size_t engines);

/// @brief The bearer key of a synthetic customer.
[[nodiscard]] std::string syntheticKey(std::size_t customer);

/// @brief The same bundle in its written form.
[[nodiscard]] std::string syntheticBundleText(std::size_t customers, std::size_t engines);

} // namespace vanilladyke
