#pragma once

#include "vanilladyke/model/ids.hpp"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Prefix chains: a prompt as cumulative hashes at its cuts.
///
/// The seed of every hash holds customer, model and weights version, so that a hash can't name
/// another customer's work or older weights, whatever the text.
namespace vanilladyke {

/// @brief A 128-bit hash of everything from the start of the prompt to one cut.
struct ChainHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ChainHash &) const = default;
    /// @brief 32 hexadecimal digits, as engines and logs write it.
    [[nodiscard]] std::string hex() const;
};

/// @brief Reads what ChainHash::hex wrote. @return false if the text is no such hash
[[nodiscard]] bool parseChainHash(std::string_view text, ChainHash *hash);

/// @brief One cut: the hash of all before it, and how many tokens that is.
struct PrefixCut
{
    ChainHash hash;
    std::uint32_t tokens = 0; ///< tokens from the start, estimated
    bool endsMessage = false; ///< the cut is at the end of a message
    auto operator<=>(const PrefixCut &) const = default;
};

/// @brief All cuts of one prompt, shortest prefix first.
using PrefixChain = std::vector<PrefixCut>;

/// @brief What a chain's hashes are bound to.
struct ChainScope
{
    CustomerId customer;
    ModelId model;
    WeightsVersion weights;
};

/// @brief Bytes of prompt taken for one token where no tokenizer is at hand.
inline constexpr std::uint32_t BytesPerToken = 4;

/// @brief Bytes of one run inside a message; a cut is made after each.
inline constexpr std::uint32_t RunBytes = 2048;

/// @brief Cuts at message boundaries and after every RunBytes inside a message.
/// @param messages the prompt's messages in order, role and content of each as one text
[[nodiscard]] PrefixChain buildPrefixChain(const ChainScope &scope,
                                           std::span<const std::string_view> messages);

} // namespace vanilladyke

template <>
struct std::hash<vanilladyke::ChainHash>
{
    std::size_t operator()(const vanilladyke::ChainHash &key) const noexcept { return key.low; }
};
