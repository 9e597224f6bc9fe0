#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

/// Names of things, each a type of its own, so that one can't stand in another's place.
namespace vanilladyke {

/// @brief A string that is only equal to strings of the same kind.
template <typename Tag>
class NamedId
{
public:
    NamedId() = default;
    explicit NamedId(std::string value)
        : m_value(std::move(value))
    {}

    [[nodiscard]] const std::string &str() const { return m_value; }
    [[nodiscard]] bool empty() const { return m_value.empty(); }
    auto operator<=>(const NamedId &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const NamedId &id)
    {
        return out << id.m_value;
    }

private:
    std::string m_value;
};

using CustomerId = NamedId<struct CustomerTag>;
using ModelId = NamedId<struct ModelTag>;
using AdapterId = NamedId<struct AdapterTag>;
using EngineId = NamedId<struct EngineTag>;
using ServiceId = NamedId<struct ServiceTag>;
using NodeId = NamedId<struct NodeTag>;
using DataCentreId = NamedId<struct DataCentreTag>;
using RequestId = NamedId<struct RequestTag>;
using StreamId = NamedId<struct StreamTag>;
/// @brief Names the weights that an engine runs; cached work is only valid under the same one.
using WeightsVersion = NamedId<struct WeightsTag>;

/// @brief Tells one life of a process from the next; a larger number is a later life.
enum class Incarnation : std::uint64_t {};

/// @brief Where a process listens: an IP number and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
    [[nodiscard]] std::string str() const { return host + ":" + std::to_string(port); }
};

/// @brief A fresh random identifier (UUID version 4) for requests and streams.
[[nodiscard]] std::string newUuid();

/// @brief The name as nodes tell it to each other: shorter, and the same for all.
[[nodiscard]] std::uint64_t hashOfName(std::string_view name);

} // namespace vanilladyke

template <typename Tag>
struct std::hash<vanilladyke::NamedId<Tag>>
{
    std::size_t operator()(const vanilladyke::NamedId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
