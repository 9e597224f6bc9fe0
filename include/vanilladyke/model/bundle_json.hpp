#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/model/bundle.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The written form of a bundle: JSON with comments.
namespace vanilladyke {

/// @brief One thing wrong in a file, so that its author finds it at once.
struct FieldError
{
    std::string field; ///< path as in customers[2].weight; empty for the file as a whole
    std::string value; ///< what stood there, shortened
    std::string reason;
};

/// @brief Reads a bundle and checks it; on failure every error is given, not just the first.
[[nodiscard]] Outcome<Bundle, std::vector<FieldError>> parseBundle(std::string_view text);

} // namespace vanilladyke
