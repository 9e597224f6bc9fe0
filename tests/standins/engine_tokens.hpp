#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// The answers of an engine stand-in. Token I of a prompt is the CRC-32 of "C:I" in eight
/// hexadecimal digits and a space, where C is the CRC-32 of all message contents run together, as a
/// decimal number. So a judge can tell a foreign, missing or reordered token.
namespace standin {

inline constexpr std::size_t TokenBytes = 9;

[[nodiscard]] std::uint32_t checksum(const std::string &text);
[[nodiscard]] std::string tokenAt(std::uint32_t promptSum, std::uint32_t index);

/// Takes the answer so far off the end of the prompt and checks it.
/// @param have tokens of the answer that the prompt ends with
/// @return the prompt's checksum; throws std::invalid_argument if the end is no such answer
[[nodiscard]] std::uint32_t promptChecksum(const nlohmann::json &body, std::uint32_t have);

} // namespace standin
