#pragma once

#include <boost/beast/http/fields.hpp>

#include <optional>
#include <string_view>

/// Whether the head of an HTTP answer is one that its reader may act on.
///
/// A parser takes what it can read. A server in trouble sends heads that can be read and still are
/// no answer: passed on, a caller would get them as one, and where they name the end of the body
/// oddly, the body has another end than the server's.
namespace vanilladyke {

/// @brief What is wrong with a head.
enum class HeadFault {
    Status, ///< HTTP defines no such status, or not for this request
    Length, ///< of the body: named oddly or more than once, or there may be no body
    Coding, ///< of the body: another one than chunks, more than one, or beside a length
};

[[nodiscard]] std::string_view toString(HeadFault fault);

/// @brief Whether the status promises a further answer to the same request.
[[nodiscard]] constexpr bool isInformational(int status)
{
    return status >= 100 && status < 200;
}

/// @brief Checks a head that was parsed, to a request that asked for no other protocol.
/// @param version of HTTP, as 11 for HTTP/1.1
/// @return none if nothing is wrong with it
[[nodiscard]] std::optional<HeadFault> faultOf(int status, unsigned version,
                                               const boost::beast::http::fields &fields);

/// @brief Whether one of the content codings that a head names changes the body.
[[nodiscard]] bool isEncoded(const boost::beast::http::fields &fields);

/// @brief Whether a head names a body that its status doesn't allow. Bytes that follow could be
/// read as the next answer.
[[nodiscard]] bool isBodyForbidden(int status, const boost::beast::http::fields &fields);

} // namespace vanilladyke
