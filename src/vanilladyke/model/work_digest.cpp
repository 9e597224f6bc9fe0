#include "vanilladyke/model/work_digest.hpp"

#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace vanilladyke {

namespace {

constexpr std::size_t HexOfHalf = 16;

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

std::string hexOf(std::uint64_t half)
{
    std::array<char, HexOfHalf> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), half, 16).ptr;
    const std::string text(digits.data(), end);
    return std::string(HexOfHalf - text.size(), '0') + text;
}

bool readHex(std::string_view text, std::uint64_t *half)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), *half, 16);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string WorkDigest::str() const
{
    return hexOf(high) + hexOf(low);
}

std::optional<WorkDigest> parseWorkDigest(std::string_view text)
{
    WorkDigest digest;
    const bool isWhole = text.size() == 2 * HexOfHalf
                         && readHex(text.substr(0, HexOfHalf), &digest.high)
                         && readHex(text.substr(HexOfHalf), &digest.low);
    return isWhole ? std::optional(digest) : std::nullopt;
}

void WorkDigester::setKey(std::string_view fleetKey)
{
    // A key of its own: the fleet's key also seals datagrams.
    constexpr std::string_view Purpose = "vanilladyke work digest";
    std::array<unsigned char, KeyBytes> key{};
    crypto_generichash(key.data(), key.size(), bytesOf(Purpose), Purpose.size(), bytesOf(fleetKey),
                       std::min<std::size_t>(fleetKey.size(), crypto_generichash_KEYBYTES_MAX));
    m_key = key;
}

WorkDigest WorkDigester::digest(const RequestWork &work) const
{
    std::array<unsigned char, sizeof(WorkDigest)> out{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, m_key->data(), m_key->size(), out.size());
    // With the length before each field no two requests share their bytes.
    for (const std::string_view field :
         {work.customer, work.method, work.host, work.target, work.body}) {
        const std::uint64_t size = field.size();
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&size),
                                  sizeof size);
        crypto_generichash_update(&state, bytesOf(field), field.size());
    }
    crypto_generichash_final(&state, out.data(), out.size());
    WorkDigest digest;
    std::memcpy(&digest.high, out.data(), sizeof digest.high);
    std::memcpy(&digest.low, out.data() + sizeof digest.high, sizeof digest.low);
    return digest;
}

} // namespace vanilladyke
