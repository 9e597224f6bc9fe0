#pragma once

#include "vanilladyke/model/bundle_json.hpp"

#include <string_view>
#include <vector>

/// What is wrong with a bundle beyond its form: ids that stand twice, and names of things that it
/// does not hold. Checked before publishing and never when the log is read, so that nodes of
/// different releases can't disagree on what is accepted.
namespace vanilladyke {

/// @brief Every error of a bundle's text; empty if it may be published.
[[nodiscard]] std::vector<FieldError> checkBundle(std::string_view text);

/// @brief Every error that a bundle has as the next one after @p previous.
[[nodiscard]] std::vector<FieldError> checkSuccessor(std::string_view text,
                                                     std::string_view previous);

} // namespace vanilladyke
