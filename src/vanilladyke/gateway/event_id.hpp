#pragma once

#include "vanilladyke/gateway/exchange_context.hpp"

#include <array>
#include <optional>
#include <string>
#include <string_view>

/// Event ids of streams: signed, so that any node can take a caller's Last-Event-ID after its own
/// node died, and nobody can read another's stream by making one up.
namespace vanilladyke {

/// @brief The key that signs event ids; the same on all nodes.
using EventKey = std::array<unsigned char, 32>;

/// @brief Reads 64 hexadecimal digits. @return none if the text is no key
[[nodiscard]] std::optional<EventKey> parseEventKey(std::string_view text);
/// @brief A key that no other process knows.
[[nodiscard]] EventKey randomEventKey();

/// @brief Signs and checks event ids with one key. Any thread.
class EventSigner
{
public:
    explicit EventSigner(const EventKey &key)
        : m_key(key)
    {}

    /// @brief The id that names the position for this request's customer and prompt.
    [[nodiscard]] std::string sign(const StreamPosition &position,
                                   const RequestContext &context) const;
    /// @brief The position in an id; none if it was not signed with this key for this customer and
    /// prompt.
    [[nodiscard]] std::optional<StreamPosition> open(std::string_view id,
                                                     const RequestContext &context) const;

private:
    EventKey m_key;
};

} // namespace vanilladyke
