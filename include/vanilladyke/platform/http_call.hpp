#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <memory>
#include <string>
#include <string_view>

/// HTTP calls with an overall deadline, for the platform clients and for orders to engines.
namespace vanilladyke {

inline constexpr int ServiceUnavailable = 503;

/// @brief Response of a server.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// @brief Reason why there is no response.
struct HttpFailure
{
    bool sent = false; ///< bytes may have been sent; if false, the call cannot have taken effect
    std::string detail;
    bool isTooLarge = false; ///< the response has more bytes than the caller takes
};

/// @brief Longest time that a server may delay its response (long polling) so that it still
/// arrives by the deadline.
[[nodiscard]] Duration longestWait(TimePoint deadline, TimePoint now);

/// @brief Calls one server over a persistent connection. Not thread-safe except for cancel(); each
/// thread needs its own caller.
class HttpCaller
{
public:
    /// Of a page of the log, of which a process reads one at a time.
    static constexpr std::uint64_t DefaultAnswerBytes = 16U << 20U;

    /// @param maxAnswerBytes a longer body is a failure
    explicit HttpCaller(const Endpoint &endpoint, const BackendTls &tls = {},
                        std::uint64_t maxAnswerBytes = DefaultAnswerBytes);
    HttpCaller(HttpCaller &&) noexcept;
    HttpCaller &operator=(HttpCaller &&) noexcept;
    ~HttpCaller();

    [[nodiscard]] Outcome<HttpAnswer, HttpFailure> get(const std::string &path, TimePoint deadline);
    [[nodiscard]] Outcome<HttpAnswer, HttpFailure> post(const std::string &path,
                                                        std::string_view body,
                                                        const std::string &contentType,
                                                        TimePoint deadline);
    /// @brief Cancels a call in progress. Thread-safe.
    void cancel();
    /// @brief Sets the bearer key that is sent with all subsequent calls.
    void setBearer(const std::string &key);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
