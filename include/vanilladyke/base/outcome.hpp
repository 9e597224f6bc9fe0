#pragma once

#include <tl/expected.hpp>

/// Outcomes as values. Exceptions are left for broken invariants and for libraries that throw;
/// those are caught where the library is called.
namespace vanilladyke {

/// @brief Either the value of an operation or the typed reason why there is none.
template <typename Value, typename Error>
using Outcome = tl::expected<Value, Error>;

/// @brief Makes the failed side of an Outcome.
template <typename Error>
[[nodiscard]] auto failure(Error &&error)
{
    return tl::make_unexpected(std::forward<Error>(error));
}

} // namespace vanilladyke
