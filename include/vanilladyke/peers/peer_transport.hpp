#pragma once

#include "vanilladyke/policy/peer_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Carries peer messages over ZeroMQ, encrypted and authenticated with CURVE.
///
/// All nodes of a fleet hold one key pair from their settings: whoever proves that it has the
/// secret key is a peer. A pair for each node would need a directory of keys that changes with 890
/// restarts a day and has to be agreed on; it was weighed and not taken. To change the pair,
/// settings name the old public key as accepted besides, until the last host has the new one.
namespace vanilladyke {

/// @brief A CURVE key pair in ZeroMQ's Z85 form, 40 characters each.
struct PeerKeys
{
    std::string publicKey;
    std::string secretKey;
    std::string formerPublicKey; ///< accepted besides; empty for none
};

/// @brief Makes a fresh pair.
[[nodiscard]] PeerKeys newPeerKeys();
/// @brief Whether the text is a key in Z85 form.
[[nodiscard]] bool isPeerKey(const std::string &text);

/// @brief The public key that belongs to a secret one; empty if the text is no key.
[[nodiscard]] std::string publicPeerKey(const std::string &secretKey);

/// @brief What went over the wire so far.
struct TransportCounts
{
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesOut = 0; ///< of messages, without ZeroMQ's and TCP's framing
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t malformed = 0; ///< messages that could not be read
    std::uint64_t replaced = 0;  ///< connections given up for silence, to be opened anew
};

/// @brief The sockets of one node, on a thread of their own.
class PeerTransport
{
public:
    /// @brief Called on the transport's thread for each message read.
    using Receiver = std::function<void(PeerMessage message, ReplyRoute route)>;

    PeerTransport(PeerKeys keys, Receiver receiver);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    ~PeerTransport();

    /// @brief Takes the address and starts. @return why not, if it can't
    [[nodiscard]] std::optional<std::string> start(const Endpoint &endpoint);
    /// @brief Sends a message as soon as the thread comes to it; any thread may call.
    void send(Outgoing outgoing);
    [[nodiscard]] TransportCounts counts() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
