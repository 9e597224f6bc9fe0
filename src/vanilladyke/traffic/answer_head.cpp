#include "vanilladyke/traffic/answer_head.hpp"

#include <boost/beast/http/field.hpp>

namespace vanilladyke {

namespace {

namespace http = boost::beast::http;

constexpr int SwitchingProtocols = 101;
constexpr int FirstUndefined = 600;

} // namespace

std::string_view toString(HeadFault fault)
{
    switch (fault) {
    case HeadFault::Status:
        return "status";
    case HeadFault::Length:
        return "length";
    }
    return "unknown";
}

std::optional<HeadFault> faultOf(int status, const http::fields &fields)
{
    const bool isDefined = status >= 100 && status < FirstUndefined;
    if (!isDefined || status == SwitchingProtocols) {
        return HeadFault::Status;
    }
    const auto length = fields[http::field::content_length];
    const bool namesBody =
            (!length.empty() && length != "0") || fields.count(http::field::transfer_encoding) > 0;
    if (isInformational(status) && namesBody) {
        return HeadFault::Length; // what follows could be read as the answer
    }
    return std::nullopt;
}

} // namespace vanilladyke
