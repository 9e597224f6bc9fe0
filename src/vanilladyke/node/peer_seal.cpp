#include "vanilladyke/node/peer_seal.hpp"

#include <sodium.h>

#include <array>

namespace vanilladyke {

namespace {

constexpr std::size_t TagBytes = 16;
using Tag = std::array<unsigned char, TagBytes>;

Tag tagOf(std::string_view message, const std::string &key)
{
    Tag tag{};
    crypto_generichash(tag.data(), tag.size(),
                       reinterpret_cast<const unsigned char *>(message.data()), message.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size());
    return tag;
}

} // namespace

std::string PeerSeal::seal(std::string_view message) const
{
    const Tag tag = tagOf(message, m_key);
    std::string datagram(reinterpret_cast<const char *>(tag.data()), tag.size());
    return datagram.append(message);
}

std::optional<std::string_view> PeerSeal::open(std::string_view datagram) const
{
    if (!isReady() || datagram.size() < TagBytes) {
        return std::nullopt;
    }
    const std::string_view message = datagram.substr(TagBytes);
    const Tag tag = tagOf(message, m_key);
    const bool isOurs = sodium_memcmp(tag.data(), datagram.data(), TagBytes) == 0;
    return isOurs ? std::optional(message) : std::nullopt;
}

} // namespace vanilladyke
