#pragma once

#include <array>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

/// Digests and signatures: BLAKE2b-256 and Ed25519, written in lower-case hexadecimal.
namespace vanilladyke {

/// @brief The half of a signing key that verifies; host settings list the trusted ones.
struct VerifyKey
{
    std::array<unsigned char, 32> bytes{};

    auto operator<=>(const VerifyKey &) const = default;
    [[nodiscard]] std::string hex() const;
};

/// @brief An operator's signing key. Never logged and never sent.
struct SigningKey
{
    std::array<unsigned char, 64> bytes{};

    [[nodiscard]] std::string hex() const;
};

/// @brief One detached signature and who made it.
struct Signature
{
    VerifyKey signer;
    std::array<unsigned char, 64> bytes{};

    bool operator==(const Signature &) const = default;
    [[nodiscard]] std::string hex() const;
};

/// @brief BLAKE2b-256 of the text, as 64 hexadecimal digits.
[[nodiscard]] std::string digestOf(std::string_view text);

/// @brief Makes a new signing key from the system's randomness.
[[nodiscard]] SigningKey newSigningKey();
/// @brief The signing key that a seed stands for; the same seed gives the same key.
[[nodiscard]] SigningKey signingKeyOf(const std::array<unsigned char, 32> &seed);
[[nodiscard]] VerifyKey verifyKeyOf(const SigningKey &key);

/// @brief Signs a bundle's text; the signature holds for no other kind of text.
[[nodiscard]] Signature signBundleText(const SigningKey &key, std::string_view text);
[[nodiscard]] bool holds(const Signature &signature, std::string_view text);

/// @brief Read what hex() wrote. @return none if the text is no such value
[[nodiscard]] std::optional<VerifyKey> parseVerifyKey(std::string_view hex);
[[nodiscard]] std::optional<SigningKey> parseSigningKey(std::string_view hex);
[[nodiscard]] std::optional<Signature> parseSignature(const VerifyKey &signer,
                                                      std::string_view hex);

} // namespace vanilladyke
