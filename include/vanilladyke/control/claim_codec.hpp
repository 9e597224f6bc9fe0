#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/policy/claim_record.hpp"

#include <string>
#include <string_view>

/// Encoding of claim records: protobuf, one batch per record of the log.
namespace vanilladyke {

/// @brief Encodes a batch as the data of one append.
[[nodiscard]] std::string encodeClaims(const ClaimBatch &batch);

/// @brief Decodes one record of the stream. The input is untrusted: any writer to the stream may
/// have appended it.
///
/// A batch is accepted as a whole or refused as a whole, by rules that are the same on every node:
/// nodes that accepted different parts of it would disagree about which of them may send a call.
/// @return the batch, or why it was refused
[[nodiscard]] Outcome<ClaimBatch, std::string> decodeClaims(std::string_view bytes);

} // namespace vanilladyke
