#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"

namespace vanilladyke {

/// @brief Names the customer by its bearer key; refuses an unknown one.
struct IdentifyCustomer
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Reads the completion request: model, messages, streamed or whole.
struct ParseCompletion
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Sets the first-token deadline from X-Request-Deadline or the bundle's default.
struct SetDeadline
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Sets the deadline of a plain service's whole answer in the same way.
struct SetServiceDeadline
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief Cuts the prompt into its prefix chain.
struct CutPrefixes
{
    [[nodiscard]] FilterVerdict operator()(RequestContext &context) const;
};

/// @brief The digest under which a bundle names a bearer key: BLAKE2b-256, hexadecimal.
[[nodiscard]] std::string keyDigest(const std::string &key);

} // namespace vanilladyke
