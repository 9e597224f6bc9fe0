#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Authenticates datagrams between nodes.
///
/// Updates between nodes steer requests and, where one node reads the store for others, determine
/// which keys are valid. A datagram is therefore accepted only with a tag made with the fleet key,
/// which is kept in the platform's store, where only nodes and operators can read it. The number of
/// each request and the sequence of each load update prevent replay.
namespace vanilladyke {

/// @brief Signs and verifies datagrams with the fleet key; without a key verification fails.
class DatagramSigner
{
public:
    void setKey(std::string key) { m_key = std::move(key); }
    [[nodiscard]] bool isReady() const { return !m_key.empty(); }
    /// @return the tag, followed by the message
    [[nodiscard]] std::string sign(std::string_view message) const;
    /// @return the message, or none if the tag doesn't match the key
    [[nodiscard]] std::optional<std::string_view> verify(std::string_view datagram) const;

private:
    std::string m_key;
};

} // namespace vanilladyke
