#include "vanilladyke/base/utf8.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace vanilladyke {

namespace {

/// First bytes of characters, the number of bytes of each, and the bounds of the second byte, which
/// leave out surrogates, numbers above 0x10FFFF, and more bytes than a character needs.
struct Form
{
    std::uint8_t least;
    std::uint8_t most;
    std::size_t bytes;
    std::uint8_t leastSecond;
    std::uint8_t mostSecond;
};

constexpr std::array<Form, 9> Forms{{{0x00, 0x7f, 1, 0x80, 0xbf},
                                     {0xc2, 0xdf, 2, 0x80, 0xbf},
                                     {0xe0, 0xe0, 3, 0xa0, 0xbf},
                                     {0xe1, 0xec, 3, 0x80, 0xbf},
                                     {0xed, 0xed, 3, 0x80, 0x9f},
                                     {0xee, 0xef, 3, 0x80, 0xbf},
                                     {0xf0, 0xf0, 4, 0x90, 0xbf},
                                     {0xf1, 0xf3, 4, 0x80, 0xbf},
                                     {0xf4, 0xf4, 4, 0x80, 0x8f}}};

bool isWithin(char c, std::uint8_t least, std::uint8_t most)
{
    const auto byte = static_cast<std::uint8_t>(c);
    return byte >= least && byte <= most;
}

} // namespace

std::size_t utf8CharacterBytes(std::string_view text)
{
    const auto form = std::find_if(Forms.begin(), Forms.end(), [text](const Form &each) {
        return !text.empty() && isWithin(text.front(), each.least, each.most);
    });
    if (form == Forms.end() || text.size() < form->bytes) {
        return 0;
    }
    const std::string_view rest = text.substr(1, form->bytes - 1);
    const bool isWhole =
            std::all_of(rest.begin(), rest.end(), [](char c) { return isWithin(c, 0x80, 0xbf); });
    const bool isAllowed =
            rest.empty() || isWithin(rest.front(), form->leastSecond, form->mostSecond);
    return isWhole && isAllowed ? form->bytes : 0;
}

} // namespace vanilladyke
