#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Recognizes a request that comes again, at any node and under another id.
namespace vanilladyke {

/// @brief What makes two requests the same work. Views; nothing is kept.
struct RequestWork
{
    std::string_view customer; ///< empty if the route needs no key
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// @brief 128 bits that name a request's work.
struct WorkDigest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const WorkDigest &) const = default;
    /// @return 32 hexadecimal digits
    [[nodiscard]] std::string str() const;
};

/// @return none if the text is not 32 hexadecimal digits
[[nodiscard]] std::optional<WorkDigest> parseWorkDigest(std::string_view text);

/// @brief Digests of one fleet. Keyed, so that no caller can make two requests that collide.
class WorkDigester
{
public:
    /// @param fleetKey any bytes that all nodes share and no caller knows
    void setKey(std::string_view fleetKey);
    /// @brief Whether digests agree with those of other nodes.
    [[nodiscard]] bool isReady() const { return m_key.has_value(); }
    /// @brief Takes a millisecond for some megabytes of body. Needs a key.
    [[nodiscard]] WorkDigest digest(const RequestWork &work) const;

private:
    static constexpr std::size_t KeyBytes = 32;

    std::optional<std::array<unsigned char, KeyBytes>> m_key;
};

} // namespace vanilladyke

/// Digests are keyed hashes already.
template <>
struct std::hash<vanilladyke::WorkDigest>
{
    std::size_t operator()(const vanilladyke::WorkDigest &digest) const noexcept
    {
        return static_cast<std::size_t>(digest.low);
    }
};
