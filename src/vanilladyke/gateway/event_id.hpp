#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>

/// Signed event ids of streams. Any node can accept a caller's Last-Event-ID after the caller's
/// node failed, and no caller can read another's stream with a forged id.
namespace vanilladyke {

/// @brief The key that signs event ids; the same on all nodes.
using EventKey = std::array<unsigned char, 32>;

/// @brief Parses 64 hexadecimal digits. @return none if the text is not a key
[[nodiscard]] std::optional<EventKey> parseEventKey(std::string_view text);
/// @brief A random key, unique to this process.
[[nodiscard]] EventKey randomEventKey();

/// @brief Signs and verifies event ids with one key. Thread-safe.
class EventSigner
{
public:
    explicit EventSigner(const EventKey &key)
        : m_key(key)
    {}

    /// @brief The event id of the position, bound to this request's customer and prompt.
    [[nodiscard]] std::string sign(const StreamPosition &position,
                                   const RequestContext &context) const;
    /// @brief The position encoded in an id; none if the id was not signed with this key for this
    /// customer and prompt.
    [[nodiscard]] std::optional<StreamPosition> verify(std::string_view id,
                                                       const RequestContext &context) const;

private:
    EventKey m_key;
};

} // namespace vanilladyke
