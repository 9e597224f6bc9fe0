#pragma once

#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/model/uuid_v7.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

/// What the log's stream "claims" holds: who may send a call that may not be repeated, and what
/// became of it.
namespace vanilladyke {

/// @brief A digest of method, path and body, which tells a repeat from another call.
using RequestDigest = NamedId<struct RequestDigestTag>;
/// @brief One life of one node's process; a restart makes a new one.
using ProcessId = NamedId<struct ProcessTag>;

/// @brief Names one call for good: what the caller calls its idempotency key, in its own space.
struct ClaimKey
{
    CustomerId customer;
    ServiceId service;
    UuidV7 key;

    auto operator<=>(const ClaimKey &) const = default;
};

/// @brief Tells one claim from every other. The process in it lets a node know its own again.
struct ClaimNonce
{
    ProcessId process;
    std::uint64_t sequence = 0;

    auto operator<=>(const ClaimNonce &) const = default;
};

/// @brief "I want to be the one that sends this call."
struct Claim
{
    ClaimKey key;
    ClaimNonce nonce;
    NodeId node;
    RequestDigest request;

    auto operator<=>(const Claim &) const = default;
};

/// @brief "I sent nothing under this claim and never will": the key is free for another claim.
struct ClaimRelease
{
    ClaimKey key;
    ClaimNonce nonce;

    auto operator<=>(const ClaimRelease &) const = default;
};

/// @brief What became of a call that was sent.
enum class OutcomeKind : std::uint8_t {
    Answered,       ///< the answer is kept
    AnswerTooLarge, ///< it ran, but its answer is too large to keep
    Unknown,        ///< sent, and no answer came
};

/// @brief The outcome of the call that the claim's owner sent.
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

/// @brief What one append carries: all that was waiting.
using ClaimBatch = std::vector<ClaimRecord>;

/// @brief The largest answer that is kept for repeats.
inline constexpr std::size_t MostAnswerBytes = 4096;

/// @brief The longest name, digest or content type in a record.
inline constexpr std::size_t MostNameBytes = 256;
inline constexpr std::uint32_t MostStatus = 999;

/// @brief Whether every reader will take the record. One that is not well formed must never be
/// appended: readers refuse it together with all others of its append.
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
