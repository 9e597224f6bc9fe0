#pragma once

#include "vanilladyke/policy/peer_message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// Peer messaging over ZeroMQ, encrypted and authenticated with CURVE.
///
/// All nodes of a fleet share one key pair from their settings; a client that proves possession of
/// the secret key is accepted as a peer. Key pairs per node would need a consistent key directory
/// that changes with 890 restarts a day. For key rotation, settings list the former public key as
/// also accepted until the last host has the new pair.
namespace vanilladyke {

/// @brief A CURVE key pair in ZeroMQ's Z85 encoding, 40 characters each.
struct PeerKeys
{
    std::string publicKey;
    std::string secretKey;
    std::string formerPublicKey; ///< also accepted, for key rotation; empty for none
};

/// @brief Generates a new key pair.
[[nodiscard]] PeerKeys newPeerKeys();
/// @brief Whether the text is a valid key in Z85 encoding.
[[nodiscard]] bool isPeerKey(const std::string &text);

/// @brief Derives the public key of a secret key; empty if the text is not a valid key.
[[nodiscard]] std::string publicPeerKey(const std::string &secretKey);

/// @brief Traffic counters since the transport was created.
struct TransportCounts
{
    std::uint64_t messagesOut = 0;
    std::uint64_t bytesOut = 0; ///< payload only, without ZeroMQ and TCP framing
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t malformed = 0; ///< messages that could not be decoded
    std::uint64_t replaced = 0;  ///< connections closed because the peer did not answer
};

/// @brief Owns the sockets of one node and runs them on a dedicated thread.
class PeerTransport
{
public:
    /// @brief Called on the transport thread for each decoded message.
    using Receiver = std::function<void(PeerMessage message, ReplyRoute route)>;

    PeerTransport(PeerKeys keys, Receiver receiver);
    PeerTransport(const PeerTransport &) = delete;
    PeerTransport &operator=(const PeerTransport &) = delete;
    ~PeerTransport();

    /// @brief Binds to the address and starts the thread. @return the error if binding failed
    [[nodiscard]] std::optional<std::string> start(const Endpoint &endpoint);
    /// @brief Queues a message for the transport thread. Thread-safe.
    void send(Outgoing outgoing);
    [[nodiscard]] TransportCounts counts() const;

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
