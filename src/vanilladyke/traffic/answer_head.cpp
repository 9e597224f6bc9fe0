#include "vanilladyke/traffic/answer_head.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <algorithm>

namespace vanilladyke {

namespace {

namespace http = boost::beast::http;

constexpr int SwitchingProtocols = 101;
constexpr int NoContent = 204;
constexpr int NotModified = 304;
constexpr int FirstUndefined = 600;
constexpr unsigned FirstWithCodings = 11; ///< HTTP/1.1

/// Whether there is one length, in digits. Others may read a list, or several, differently.
bool isLength(const http::fields &fields)
{
    const auto value = fields[http::field::content_length];
    const bool isDigits = std::all_of(value.begin(), value.end(),
                                      [](char each) { return each >= '0' && each <= '9'; });
    return fields.count(http::field::content_length) == 1 && !value.empty() && isDigits;
}

/// Whether the body is in chunks and has no other coding, which nobody would take away.
bool isChunked(const http::fields &fields)
{
    return fields.count(http::field::transfer_encoding) == 1
           && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

bool namesBody(const http::fields &fields)
{
    const auto length = fields[http::field::content_length];
    return (!length.empty() && length != "0") || fields.count(http::field::transfer_encoding) > 0;
}

} // namespace

std::string_view toString(HeadFault fault)
{
    switch (fault) {
    case HeadFault::Status:
        return "status";
    case HeadFault::Length:
        return "length";
    case HeadFault::Coding:
        return "coding";
    }
    return "unknown";
}

std::optional<HeadFault> faultOf(int status, unsigned version, const http::fields &fields)
{
    const bool isDefined = status >= 100 && status < FirstUndefined;
    if (!isDefined || status == SwitchingProtocols) {
        return HeadFault::Status;
    }
    const bool hasLength = fields.count(http::field::content_length) > 0;
    const bool hasCoding = fields.count(http::field::transfer_encoding) > 0;
    if (hasLength && !isLength(fields)) {
        return HeadFault::Length;
    }
    if (hasCoding && (hasLength || version < FirstWithCodings || !isChunked(fields))) {
        return HeadFault::Coding;
    }
    if (isInformational(status) && namesBody(fields)) {
        return HeadFault::Length; // what follows could be read as the answer
    }
    return std::nullopt;
}

bool isEncoded(const http::fields &fields)
{
    const auto [first, last] = fields.equal_range(http::field::content_encoding);
    return std::any_of(first, last, [](const auto &each) {
        return !each.value().empty() && !boost::beast::iequals(each.value(), "identity");
    });
}

bool isBodyForbidden(int status, const http::fields &fields)
{
    const bool hasCoding = fields.count(http::field::transfer_encoding) > 0;
    // The length in a 304 is that of the body which the caller has already.
    return (status == NoContent && namesBody(fields)) || (status == NotModified && hasCoding);
}

} // namespace vanilladyke
