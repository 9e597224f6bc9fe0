#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/platform/backend_client.hpp"

#include <memory>
#include <string>
#include <string_view>

/// Small HTTP calls under one deadline, for the clients of the platform and for orders.
namespace vanilladyke {

inline constexpr int ServiceUnavailable = 503;

/// @brief What a server answered.
struct HttpAnswer
{
    int status = 0;
    std::string body;
};

/// @brief Why there is no answer.
struct HttpFailure
{
    bool sent = false; ///< bytes of the call may have left; if not, it can't have taken effect
    std::string detail;
};

/// @brief How long a server may hold an answer back so that it still arrives by the deadline.
[[nodiscard]] Duration longestWait(TimePoint deadline, TimePoint now);

/// @brief Calls one server over one connection that is kept open. Each thread needs its own.
class HttpCaller
{
public:
    explicit HttpCaller(const Endpoint &endpoint, const BackendTls &tls = {});
    HttpCaller(HttpCaller &&) noexcept;
    HttpCaller &operator=(HttpCaller &&) noexcept;
    ~HttpCaller();

    [[nodiscard]] Outcome<HttpAnswer, HttpFailure> get(const std::string &path, TimePoint deadline);
    [[nodiscard]] Outcome<HttpAnswer, HttpFailure> post(const std::string &path,
                                                        std::string_view body,
                                                        const std::string &contentType,
                                                        TimePoint deadline);
    /// @brief Breaks off a call that is under way; any thread may call.
    void cancel();
    /// @brief Sends this bearer key with every call from now on.
    void setBearer(const std::string &key);

private:
    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace vanilladyke
