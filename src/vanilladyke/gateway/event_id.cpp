#include "vanilladyke/gateway/event_id.hpp"

#include <sodium.h>

#include <charconv>
#include <vector>

namespace vanilladyke {

namespace {

constexpr std::size_t MacBytes = crypto_generichash_BYTES_MIN;
constexpr std::size_t MacDigits = 2 * MacBytes;
constexpr char Separator = '.';
/// Far above the longest id that sign() produces; bounds the work spent on a caller's header.
constexpr std::size_t MaxIdBytes = 512;

std::string encode(const StreamPosition &position)
{
    std::string text = std::to_string(static_cast<std::uint64_t>(position.incarnation));
    text += Separator + std::to_string(position.start);
    text += Separator + std::to_string(position.offset);
    text += Separator + position.stream.str();
    text += Separator + position.engine.str();
    return text;
}

template <typename Number>
bool parseNumber(std::string_view *text, Number *out)
{
    const auto parsed = std::from_chars(text->data(), text->data() + text->size(), *out);
    const auto used = static_cast<std::size_t>(parsed.ptr - text->data());
    if (parsed.ec != std::errc() || used >= text->size() || (*text)[used] != Separator) {
        return false;
    }
    text->remove_prefix(used + 1);
    return true;
}

std::optional<StreamPosition> decode(std::string_view text)
{
    StreamPosition position;
    std::uint64_t incarnation = 0;
    if (!parseNumber(&text, &incarnation) || !parseNumber(&text, &position.start)
        || !parseNumber(&text, &position.offset)) {
        return std::nullopt;
    }
    const std::size_t end = text.find(Separator);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    position.incarnation = Incarnation{incarnation};
    position.stream = StreamId(std::string(text.substr(0, end)));
    position.engine = EngineId(std::string(text.substr(end + 1)));
    return position;
}

/// The code covers customer and prompt, each prefixed by its length; the id doesn't contain them.
std::string macOf(const EventKey &key, const std::string &text, const RequestContext &context)
{
    const std::string prompt = context.chain.empty() ? "" : context.chain.back().hash.hex();
    std::string message;
    for (const std::string *part : {&context.customer.str(), &prompt, &text}) {
        message += std::to_string(part->size()) + ":" + *part;
    }
    std::array<unsigned char, MacBytes> mac{};
    crypto_generichash(mac.data(), mac.size(),
                       reinterpret_cast<const unsigned char *>(message.data()), message.size(),
                       key.data(), key.size());
    std::array<char, MacDigits + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), mac.data(), mac.size());
    return digits.data();
}

} // namespace

std::optional<EventKey> parseEventKey(std::string_view text)
{
    EventKey key{};
    std::size_t length = 0;
    const int failed = sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr,
                                      &length, nullptr);
    if (failed != 0 || length != key.size() || text.size() != 2 * key.size()) {
        return std::nullopt;
    }
    return key;
}

EventKey randomEventKey()
{
    EventKey key{};
    randombytes_buf(key.data(), key.size());
    return key;
}

std::string EventSigner::sign(const StreamPosition &position, const RequestContext &context) const
{
    const std::string text = encode(position);
    return macOf(m_key, text, context) + Separator + text;
}

std::optional<StreamPosition> EventSigner::verify(std::string_view id,
                                                  const RequestContext &context) const
{
    if (id.size() <= MacDigits || id.size() > MaxIdBytes || id[MacDigits] != Separator) {
        return std::nullopt;
    }
    const std::string text(id.substr(MacDigits + 1));
    const std::string expected = macOf(m_key, text, context);
    if (sodium_memcmp(expected.data(), id.data(), MacDigits) != 0) {
        return std::nullopt;
    }
    return decode(text);
}

} // namespace vanilladyke
