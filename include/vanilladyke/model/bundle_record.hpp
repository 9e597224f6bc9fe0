#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/model/log_page.hpp"
#include "vanilladyke/model/signing.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The records of the log's stream "bundles": published bundles, and checkpoints.
namespace vanilladyke {

/// @brief A bundle's text with its detached signatures, as operators hand it in.
struct SignedBundle
{
    std::string text;
    std::vector<Signature> signatures;
};

/// @brief One line of the account: a bundle that was accepted.
struct HistoryEntry
{
    std::uint64_t version = 0;
    std::string digest;
    std::string parent; ///< digest of the one before; empty for the first
    std::vector<VerifyKey> signers;
    LogOffset offset = 0; ///< where it was accepted
    WallTime acceptedAt;  ///< by the log's clock; in force until the next one's

    bool operator==(const HistoryEntry &) const = default;
};

/// @brief What a checkpoint adds to the bundle that it repeats.
struct CheckpointPart
{
    LogOffset asOf = 0;                ///< every record before this has been taken into account
    std::vector<HistoryEntry> history; ///< the last entry is the bundle's own
};

/// @brief One record.
struct BundleRecord
{
    std::string nonce; ///< tells its publisher whether it is in the log, when the answer was lost
    SignedBundle bundle;
    std::optional<CheckpointPart> checkpoint; ///< none for a publication
};

/// @brief A record larger than this is refused unread.
inline constexpr std::size_t MostRecordBytes = 32U << 20U;

/// @brief The two fields that decide acceptance.
struct BundleHeader
{
    std::uint64_t version = 0;
    std::string parent;
};

[[nodiscard]] std::string writeBundleRecord(const BundleRecord &record);
/// @brief Reads a record. @return why it is none; never throws, whatever the bytes
[[nodiscard]] Outcome<BundleRecord, std::string> parseBundleRecord(std::string_view data);
/// @brief Reads the header out of a bundle's text, without judging the rest.
[[nodiscard]] Outcome<BundleHeader, std::string> parseBundleHeader(std::string_view text);

/// @brief The signed bundle as a file: {"bundle": TEXT, "signatures": [...]}.
[[nodiscard]] std::string writeSignedBundle(const SignedBundle &bundle);
[[nodiscard]] Outcome<SignedBundle, std::string> parseSignedBundle(std::string_view data);

/// @brief The account's lines as a JSON list, as checkpoints and the operators' interface have it.
[[nodiscard]] std::string writeHistory(const std::vector<HistoryEntry> &history);
[[nodiscard]] Outcome<std::vector<HistoryEntry>, std::string> parseHistory(std::string_view data);

} // namespace vanilladyke
