#pragma once

#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/uuid_v7.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// Records of the log's stream "claims": which node may send a call that must not be repeated, and
/// the outcome of the call.
namespace vanilladyke {

/// @brief A digest of method, path and body; distinguishes a repeat from a different call.
using RequestDigest = NamedId<struct RequestDigestTag>;
/// @brief Identifies one run of a node's process; a restart creates a new one.
using ProcessId = NamedId<struct ProcessTag>;

/// @brief Identifies a call permanently: the caller's idempotency key, scoped by customer and
/// service.
struct ClaimKey
{
    CustomerId customer;
    ServiceId service;
    UuidV7 key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// @brief Unique id of a claim. The process part lets a node identify its own claims.
struct ClaimNonce
{
    ProcessId process;
    std::uint64_t sequence = 0;

    auto operator<=>(const ClaimNonce &) const = default;
};

/// @brief Requests the right to send a call.
struct Claim
{
    ClaimKey key;
    ClaimNonce nonce;
    NodeId node;
    RequestDigest request;

    auto operator<=>(const Claim &) const = default;
};

/// @brief States that nothing was or will be sent under the claim; frees the key for other claims.
struct ClaimRelease
{
    ClaimKey key;
    ClaimNonce nonce;

    auto operator<=>(const ClaimRelease &) const = default;
};

/// @brief Kind of outcome of a call that was sent.
enum class OutcomeKind : std::uint8_t {
    Answered,       ///< the answer is kept
    AnswerTooLarge, ///< it ran, but its answer is too large to keep
    Unknown,        ///< sent, but not answered
};

/// @brief Outcome of a call that the claim's owner sent.
struct ClaimOutcome
{
    ClaimKey key;
    ClaimNonce nonce;
    OutcomeKind kind = OutcomeKind::Unknown;
    std::uint32_t status = 0; ///< HTTP status of the answer; 0 if there is none
    std::string contentType;
    std::string body;

    auto operator<=>(const ClaimOutcome &) const = default;
};

using ClaimRecord = std::variant<Claim, ClaimRelease, ClaimOutcome>;

/// @brief The records of one append.
using ClaimBatch = std::vector<ClaimRecord>;

/// @brief Maximum size of an answer that is kept for repeats, in bytes.
inline constexpr std::size_t MostAnswerBytes = 4096;

/// @brief Maximum length of a name, digest or content type in a record, in bytes.
inline constexpr std::size_t MostNameBytes = 256;
inline constexpr std::uint32_t MostStatus = 999;

/// @brief Whether readers accept the record. A malformed record must never be appended: readers
/// refuse it together with all others of its append.
[[nodiscard]] bool isWellFormed(const ClaimRecord &record);

[[nodiscard]] inline const ClaimKey &keyOf(const ClaimRecord &record)
{
    return std::visit([](const auto &each) -> const ClaimKey & { return each.key; }, record);
}

[[nodiscard]] inline const ClaimNonce &nonceOf(const ClaimRecord &record)
{
    return std::visit([](const auto &each) -> const ClaimNonce & { return each.nonce; }, record);
}

} // namespace vanilladyke

template <>
struct std::hash<vanilladyke::ClaimKey>
{
    std::size_t operator()(const vanilladyke::ClaimKey &key) const noexcept
    {
        return std::hash<vanilladyke::UuidV7>{}(key.key);
    }
};
