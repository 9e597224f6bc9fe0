#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/policy/claim_record.hpp"

#include <string>
#include <string_view>

/// The written form of claim records: protobuf, one batch for each record of the log.
namespace vanilladyke {

/// @brief The bytes of one append.
[[nodiscard]] std::string encodeClaims(const ClaimBatch &batch);

/// @brief Reads what another node appended, or whoever else can write to the stream.
///
/// A batch is taken whole or not at all, by rules that every node applies alike: nodes that took
/// different parts of it would disagree about who may send.
/// @return what is wrong with it
[[nodiscard]] Outcome<ClaimBatch, std::string> decodeClaims(std::string_view bytes);

} // namespace vanilladyke
