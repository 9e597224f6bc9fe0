#include "vanilladyke/node/datagram_signer.hpp"

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

std::string DatagramSigner::sign(std::string_view message) const
{
    const Tag tag = tagOf(message, m_key);
    std::string datagram(reinterpret_cast<const char *>(tag.data()), tag.size());
    return datagram.append(message);
}

std::optional<std::string_view> DatagramSigner::verify(std::string_view datagram) const
{
    if (!isReady() || datagram.size() < TagBytes) {
        return std::nullopt;
    }
    const std::string_view message = datagram.substr(TagBytes);
    const Tag tag = tagOf(message, m_key);
    const bool isValid = sodium_memcmp(tag.data(), datagram.data(), TagBytes) == 0;
    return isValid ? std::optional(message) : std::nullopt;
}

} // namespace vanilladyke
