#include "vanilladyke/node/packed_record.hpp"

#include <zlib.h>

#include <array>
#include <cstdint>

namespace vanilladyke {

namespace {

/// The compressed bytes follow the length of the record, lowest byte first.
constexpr std::size_t LengthBytes = 4;
constexpr unsigned ByteBits = 8;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data()); // NOLINT: the library's type for bytes
}

Bytef *bytesOf(std::string *text, std::size_t from)
{
    return reinterpret_cast<Bytef *>(text->data() + from); // NOLINT: the library's type for bytes
}

} // namespace

std::string packRecord(std::string_view record)
{
    uLongf length = compressBound(static_cast<uLong>(record.size()));
    std::string packed(LengthBytes + length, '\0');
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        packed[i] = static_cast<char>(record.size() >> (ByteBits * i));
    }
    // With a buffer of compressBound() only a failed allocation is an error, which ends the
    // process.
    compress2(bytesOf(&packed, LengthBytes), &length, bytesOf(record),
              static_cast<uLong>(record.size()), Z_BEST_COMPRESSION);
    packed.resize(LengthBytes + length);
    return packed;
}

std::optional<std::string> unpackRecord(std::string_view packed)
{
    if (packed.size() < LengthBytes) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        size |= static_cast<std::size_t>(static_cast<std::uint8_t>(packed[i])) << (ByteBits * i);
    }
    if (size > MaxUnpackedBytes) {
        return std::nullopt;
    }
    std::string record(size, '\0');
    uLongf length = size;
    const std::string_view compressed = packed.substr(LengthBytes);
    const int result = uncompress(bytesOf(&record, 0), &length, bytesOf(compressed),
                                  static_cast<uLong>(compressed.size()));
    if (result != Z_OK || length != size) {
        return std::nullopt;
    }
    return record;
}

} // namespace vanilladyke
