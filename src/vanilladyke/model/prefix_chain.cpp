#include "vanilladyke/model/prefix_chain.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <memory>

namespace vanilladyke {

namespace {

constexpr std::size_t HexDigits = 16;

struct FreeState
{
    void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
};

using HashState = std::unique_ptr<XXH3_state_t, FreeState>;

/// The length goes in first, so that no two scopes or prompts run together into one text.
void addText(XXH3_state_t *state, std::string_view text)
{
    const std::uint64_t length = text.size();
    XXH3_128bits_update(state, &length, sizeof length);
    XXH3_128bits_update(state, text.data(), text.size());
}

PrefixCut cutHere(const XXH3_state_t *state, std::uint64_t bytes)
{
    const XXH128_hash_t digest = XXH3_128bits_digest(state);
    const std::uint64_t tokens = (bytes + BytesPerToken - 1) / BytesPerToken;
    return {{digest.high64, digest.low64}, static_cast<std::uint32_t>(tokens), false};
}

} // namespace

std::string ChainHash::hex() const
{
    std::array<char, 2 * HexDigits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016lx%016lx", high, low);
    return text.data();
}

bool parseChainHash(std::string_view text, ChainHash *hash)
{
    if (text.size() != 2 * HexDigits) {
        return false;
    }
    const char *middle = text.data() + HexDigits;
    const char *end = middle + HexDigits;
    const auto high = std::from_chars(text.data(), middle, hash->high, 16);
    const auto low = std::from_chars(middle, end, hash->low, 16);
    return high.ec == std::errc() && high.ptr == middle && low.ec == std::errc() && low.ptr == end;
}

PrefixChain buildPrefixChain(const ChainScope &scope, std::span<const std::string_view> messages)
{
    const HashState state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    addText(state.get(), scope.customer.str());
    addText(state.get(), scope.model.str());
    addText(state.get(), scope.weights.str());
    PrefixChain chain;
    std::uint64_t bytes = 0;
    for (const std::string_view message : messages) {
        for (std::size_t start = 0; start < message.size(); start += RunBytes) {
            const std::string_view run = message.substr(start, RunBytes);
            addText(state.get(), run);
            bytes += run.size();
            chain.push_back(cutHere(state.get(), bytes));
        }
        if (!message.empty()) {
            chain.back().endsMessage = true;
        }
    }
    return chain;
}

} // namespace vanilladyke
