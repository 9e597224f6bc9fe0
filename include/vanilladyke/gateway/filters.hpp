#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"

namespace vanilladyke {

/// @brief Identifies the customer by its bearer key; refuses an unknown key.
struct IdentifyCustomer
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Parses the completion request: model, messages, streaming options.
struct ParseCompletion
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Sets the first-token deadline from X-Request-Deadline or the bundle's default.
struct SetDeadline
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Sets the deadline for a plain service's complete answer, from the same header or the
/// bundle's default.
struct SetServiceDeadline
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Computes the prompt's prefix chain.
struct CutPrefixes
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief The digest that identifies a bearer key in a bundle: BLAKE2b-256, hexadecimal.
[[nodiscard]] std::string keyDigest(const std::string &key);

} // namespace vanilladyke
