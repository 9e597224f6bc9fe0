#pragma once

#include "vanilladyke/gateway/filters.hpp"

namespace vanilladyke {

/// @brief Finds the service that the path names.
struct FindService
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Sets the deadline of the whole answer, from X-Request-Deadline or the bundle's default.
struct SetServiceDeadline
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Demands a UUIDv7 as Idempotency-Key for services whose calls may not be repeated.
struct CheckIdempotencyKey
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Tells a repeat from another call: method, path and body.
[[nodiscard]] RequestDigest requestDigest(const RequestContext &context);

} // namespace vanilladyke
