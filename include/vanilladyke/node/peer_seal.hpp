#pragma once

#include <optional>
#include <string>
#include <string_view>

/// Signs what nodes tell each other by datagrams.
///
/// What a node tells steers requests and, where one node reads the store for others, says which
/// keys are valid. So a datagram counts only if its sender knows the fleet's key, which lies in the
/// platform's store, where only nodes and operators can read it. A number in each question and a
/// sequence in each telling keep an old datagram from counting again.
namespace vanilladyke {

/// @brief The fleet's key; without one nothing is sealed and nothing opens.
class PeerSeal
{
public:
    void setKey(std::string key) { m_key = std::move(key); }
    [[nodiscard]] bool isReady() const { return !m_key.empty(); }
    /// @brief The message with its tag before it.
    [[nodiscard]] std::string seal(std::string_view message) const;
    /// @return the message, or none if the tag is not that of the key
    [[nodiscard]] std::optional<std::string_view> open(std::string_view datagram) const;

private:
    std::string m_key;
};

} // namespace vanilladyke
