#pragma once

#include "vanilladyke/traffic/asio.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

/// Reads the head of an HTTP answer, byte for byte as its server sent it.
namespace vanilladyke {

/// @brief Finds lines of a head that begin with a blank.
///
/// HTTP once read such a line as a part of the value before it, and parsers still do. A name that
/// begins with a blank by mistake is lost so, and a length with it: the body gets another end.
class FoldDetector
{
public:
    /// @brief Takes the next bytes; those after the head are not looked at.
    /// @return whether a line begins with a blank
    [[nodiscard]] bool feed(std::string_view bytes);

private:
    bool m_isAtLineStart = false; ///< the first line can't be a continuation
    bool m_isOver = false;
};

/// @brief Reads up to the end of the head; bytes after it stay in the buffer.
/// @param error set if the connection ends or the head is none
/// @param onRead called after each read
template <typename Stream, typename Parser, typename OnRead>
[[nodiscard]] asio::awaitable<void> readAnswerHead(Stream &stream,
                                                   boost::beast::flat_buffer &buffer,
                                                   Parser &parser, ErrorCode &error, OnRead onRead)
{
    namespace http = boost::beast::http;
    constexpr std::size_t ReadSize = 16384;
    FoldDetector folds;
    std::size_t checked = 0; // bytes of the buffer that the detector has got
    error = {};
    for (;;) {
        const auto bytes = buffer.cdata();
        const std::string_view text(static_cast<const char *>(bytes.data()), bytes.size());
        if (folds.feed(text.substr(checked))) {
            error = http::error::bad_field;
            co_return;
        }
        if (!text.empty()) {
            buffer.consume(parser.put(bytes, error));
        }
        checked = buffer.size();
        if (parser.is_header_done() && (!error || error == http::error::need_more)) {
            error = {};
            co_return;
        }
        if (error && error != http::error::need_more) {
            co_return;
        }
        const std::size_t room = std::min(ReadSize, buffer.max_size() - buffer.size());
        if (room == 0) {
            error = http::error::buffer_overflow;
            co_return;
        }
        const std::size_t got =
                co_await stream.async_read_some(buffer.prepare(room), redirectError(error));
        buffer.commit(got);
        if (error) {
            co_return;
        }
        onRead();
    }
}

template <typename Stream, typename Parser>
[[nodiscard]] asio::awaitable<void>
readAnswerHead(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser, ErrorCode &error)
{
    return readAnswerHead(stream, buffer, parser, error, [] {});
}

} // namespace vanilladyke
