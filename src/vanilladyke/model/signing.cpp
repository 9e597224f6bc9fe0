#include "vanilladyke/model/signing.hpp"

#include <sodium.h>

#include <stdexcept>

namespace vanilladyke {

namespace {

/// Stands before every text that is signed, so that no signature made for another purpose with the
/// same key can pass as one for a bundle.
constexpr std::string_view Purpose = "vanilladyke bundle v1\n";

void requireSodium()
{
    static const bool ready = sodium_init() >= 0;
    if (!ready) {
        throw std::runtime_error("libsodium can't be initialized");
    }
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

template <std::size_t Size>
std::string hexOf(const std::array<unsigned char, Size> &bytes)
{
    std::string text(2 * Size + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

template <std::size_t Size>
bool parseHex(std::string_view hex, std::array<unsigned char, Size> *out)
{
    std::size_t length = 0;
    return hex.size() == 2 * Size
           && sodium_hex2bin(out->data(), out->size(), hex.data(), hex.size(), nullptr, &length,
                             nullptr)
                      == 0
           && length == Size;
}

std::string toSign(std::string_view text)
{
    return std::string(Purpose).append(text);
}

} // namespace

std::string VerifyKey::hex() const
{
    return hexOf(bytes);
}

std::string SigningKey::hex() const
{
    return hexOf(bytes);
}

std::string Signature::hex() const
{
    return hexOf(bytes);
}

std::string digestOf(std::string_view text)
{
    std::array<unsigned char, 32> digest{};
    crypto_generichash(digest.data(), digest.size(), bytesOf(text), text.size(), nullptr, 0);
    return hexOf(digest);
}

SigningKey newSigningKey()
{
    requireSodium();
    std::array<unsigned char, 32> seed{};
    randombytes_buf(seed.data(), seed.size());
    return signingKeyOf(seed);
}

SigningKey signingKeyOf(const std::array<unsigned char, 32> &seed)
{
    SigningKey key;
    VerifyKey ignored;
    crypto_sign_seed_keypair(ignored.bytes.data(), key.bytes.data(), seed.data());
    return key;
}

VerifyKey verifyKeyOf(const SigningKey &key)
{
    VerifyKey verify;
    crypto_sign_ed25519_sk_to_pk(verify.bytes.data(), key.bytes.data());
    return verify;
}

Signature signBundleText(const SigningKey &key, std::string_view text)
{
    Signature signature;
    signature.signer = verifyKeyOf(key);
    const std::string message = toSign(text);
    crypto_sign_detached(signature.bytes.data(), nullptr, bytesOf(message), message.size(),
                         key.bytes.data());
    return signature;
}

bool holds(const Signature &signature, std::string_view text)
{
    const std::string message = toSign(text);
    return crypto_sign_verify_detached(signature.bytes.data(), bytesOf(message), message.size(),
                                       signature.signer.bytes.data())
           == 0;
}

std::optional<VerifyKey> parseVerifyKey(std::string_view hex)
{
    VerifyKey key;
    return parseHex(hex, &key.bytes) ? std::optional(key) : std::nullopt;
}

std::optional<SigningKey> parseSigningKey(std::string_view hex)
{
    SigningKey key;
    return parseHex(hex, &key.bytes) ? std::optional(key) : std::nullopt;
}

std::optional<Signature> parseSignature(const VerifyKey &signer, std::string_view hex)
{
    Signature signature;
    signature.signer = signer;
    return parseHex(hex, &signature.bytes) ? std::optional(signature) : std::nullopt;
}

} // namespace vanilladyke
