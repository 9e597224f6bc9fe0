#include "vanilladyke/model/uuid_v7.hpp"

#include <algorithm>
#include <charconv>

namespace vanilladyke {

namespace {

constexpr std::size_t TextSize = 36;
constexpr std::size_t TimeBytes = 6;
constexpr std::size_t VersionByte = 6;
constexpr std::size_t VariantByte = 8;
constexpr std::uint8_t Version = 0x70;
constexpr std::uint8_t VersionMask = 0xf0;
constexpr std::uint8_t Variant = 0x80;
constexpr std::uint8_t VariantMask = 0xc0;

constexpr bool isDashAt(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

} // namespace

WallTime UuidV7::time() const
{
    std::int64_t millis = 0;
    for (std::size_t i = 0; i < TimeBytes; ++i) {
        millis = millis << 8 | m_bytes.at(i);
    }
    // 2^48 milliseconds are beyond what a clock of nanoseconds in 64 bits can hold (year 2262).
    constexpr std::int64_t Latest =
            std::chrono::duration_cast<std::chrono::milliseconds>(WallTime::duration::max())
                    .count();
    return WallTime(std::chrono::milliseconds(std::min(millis, Latest)));
}

std::string UuidV7::str() const
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : m_bytes) {
        if (isDashAt(text.size())) {
            text += '-';
        }
        text += Digits[byte >> 4U];
        text += Digits[byte & 0xfU];
    }
    return text;
}

std::optional<UuidV7> UuidV7::fromBytes(const Bytes &bytes)
{
    const bool versionFits = (bytes[VersionByte] & VersionMask) == Version;
    const bool variantFits = (bytes[VariantByte] & VariantMask) == Variant;
    if (!versionFits || !variantFits) {
        return std::nullopt;
    }
    UuidV7 key;
    key.m_bytes = bytes;
    return key;
}

std::optional<UuidV7> parseUuidV7(std::string_view text)
{
    if (text.size() != TextSize) {
        return std::nullopt;
    }
    UuidV7::Bytes bytes{};
    auto byte = bytes.begin();
    for (std::size_t i = 0; i < TextSize; i += 2) {
        if (isDashAt(i)) {
            if (text[i] != '-') {
                return std::nullopt;
            }
            ++i;
        }
        const char *digits = text.data() + i;
        const auto parsed = std::from_chars(digits, digits + 2, *byte, 16);
        if (parsed.ec != std::errc() || parsed.ptr != digits + 2) {
            return std::nullopt;
        }
        ++byte;
    }
    return UuidV7::fromBytes(bytes);
}

UuidV7 newUuidV7(WallTime time, Random &random)
{
    const auto millis =
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    UuidV7::Bytes bytes{};
    for (std::size_t i = 0; i < TimeBytes; ++i) {
        bytes.at(i) = static_cast<std::uint8_t>(millis >> (8 * (TimeBytes - 1 - i)));
    }
    std::generate(bytes.begin() + TimeBytes, bytes.end(),
                  [&] { return static_cast<std::uint8_t>(random()); });
    bytes[VersionByte] = (bytes[VersionByte] & ~VersionMask) | Version;
    bytes[VariantByte] = (bytes[VariantByte] & ~VariantMask) | Variant;
    return UuidV7::fromBytes(bytes).value();
}

} // namespace vanilladyke
