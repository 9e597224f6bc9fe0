#include "vanilladyke/peers/curve_authenticator.hpp"

#include "vanilladyke/base/log.hpp"

#include <zmq_addon.hpp>

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace {

constexpr const char *ZapEndpoint = "inproc://zeromq.zap.01";
constexpr std::size_t BinaryKeyBytes = 32;
constexpr std::size_t TextKeyBytes = 41;

/// Frames of a ZAP request, in order.
enum ZapFrame { Version, RequestId, Domain, Address, Identity, Mechanism, Key, FrameCount };

} // namespace

CurveAuthenticator::CurveAuthenticator(zmq::context_t &context,
                                       std::vector<std::string> acceptedKeys)
    : m_socket(context, zmq::socket_type::rep)
    , m_acceptedKeys(std::move(acceptedKeys))
{
    m_socket.bind(ZapEndpoint);
}

void CurveAuthenticator::answer()
{
    std::vector<zmq::message_t> frames;
    const auto received =
            zmq::recv_multipart(m_socket, std::back_inserter(frames), zmq::recv_flags::dontwait);
    if (!received) {
        return;
    }
    const bool wellFormed = frames.size() >= FrameCount && frames[Mechanism].to_string() == "CURVE";
    const bool accepted = wellFormed && accepts(frames[Key].to_string());
    if (!accepted) {
        LogEvent("peer_refused", Severity::Warning)
                .field("address", wellFormed ? frames[Address].to_string() : "unknown")
                .field("reason", "client key is not accepted by the fleet");
    }
    const std::string version = frames.empty() ? "1.0" : frames[Version].to_string();
    const std::string request = wellFormed ? frames[RequestId].to_string() : "";
    const std::array<zmq::const_buffer, 6> reply{
            zmq::buffer(version),
            zmq::buffer(request),
            accepted ? zmq::str_buffer("200") : zmq::str_buffer("400"),
            zmq::str_buffer(""),
            zmq::str_buffer(""),
            zmq::str_buffer(""),
    };
    zmq::send_multipart(m_socket, reply);
}

bool CurveAuthenticator::accepts(const std::string &binaryKey) const
{
    if (binaryKey.size() != BinaryKeyBytes) {
        return false;
    }
    std::array<char, TextKeyBytes> text{};
    zmq_z85_encode(text.data(), reinterpret_cast<const std::uint8_t *>(binaryKey.data()),
                   binaryKey.size());
    const std::string key(text.data());
    return std::find(m_acceptedKeys.begin(), m_acceptedKeys.end(), key) != m_acceptedKeys.end();
}

} // namespace vanilladyke
