#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// UUIDs of version 7 (RFC 9562), which callers use as idempotency keys: their first 48 bits are
/// the milliseconds since 1970, so that the age of a key can be told from the key alone.
namespace vanilladyke {

/// @brief A UUID of version 7.
class UuidV7
{
public:
    using Bytes = std::array<std::uint8_t, 16>;

    UuidV7() = default;

    /// @brief When the key says that it was made, by its maker's clock; whole milliseconds.
    [[nodiscard]] WallTime time() const;
    /// @brief 36 characters in lower case.
    [[nodiscard]] std::string str() const;
    [[nodiscard]] const Bytes &bytes() const { return m_bytes; }
    auto operator<=>(const UuidV7 &) const = default;

    /// @brief Takes 16 bytes. @return none if version or variant are others
    [[nodiscard]] static std::optional<UuidV7> fromBytes(const Bytes &bytes);

private:
    Bytes m_bytes{};
};

/// @brief Reads the 36-character form, in either case.
/// @return none if the text has another form, another version or another variant
[[nodiscard]] std::optional<UuidV7> parseUuidV7(std::string_view text);

/// @brief Makes a key of the given time.
[[nodiscard]] UuidV7 newUuidV7(WallTime time, Random &random);

} // namespace vanilladyke

template <>
struct std::hash<vanilladyke::UuidV7>
{
    std::size_t operator()(const vanilladyke::UuidV7 &key) const noexcept
    {
        const auto &bytes = key.bytes();
        return std::hash<std::string_view>{}(
                {reinterpret_cast<const char *>(bytes.data()), bytes.size()});
    }
};
