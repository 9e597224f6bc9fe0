#pragma once

#include "vanilladyke/traffic/exchange.hpp"

#include <boost/beast/http/string_body.hpp>

/// Server side of a caller's HTTP/1.1 connection.
namespace vanilladyke {

/// @brief Who sends the requests of a connection.
enum class SessionKind {
    Caller,
    Relay, ///< another node of the fleet, which does not reach the servers itself
};

/// @brief Reads requests from a connection and handles them one at a time; pipelined requests wait
/// for the answer to the previous one.
class CallerSession : public std::enable_shared_from_this<CallerSession>, public AnswerSink
{
public:
    CallerSession(TrafficState &state, Tcp::socket socket, SessionKind kind = SessionKind::Caller);

    void start();
    /// @brief Closes the connection, after the current answer if a request is being handled.
    void closeWhenIdle();
    [[nodiscard]] bool isBusy() const { return m_exchange != nullptr; }

private:
    using RequestParser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    [[nodiscard]] asio::awaitable<void> run();
    /// Reads the next request. @return false if the connection has to be closed
    [[nodiscard]] asio::awaitable<bool> readRequest(CallerRequest *request);
    /// Reads the body of a request once there is memory for it. @return false if the connection has
    /// to be closed
    [[nodiscard]] asio::awaitable<bool> readBody(RequestParser &parser, CallerRequest *request);
    /// When a body that waits for memory is refused.
    [[nodiscard]] TimePoint latestBodyStart(const CallerRequest &request) const;
    /// Waits for the share of a body. @return null if it was refused or the caller has left
    [[nodiscard]] asio::awaitable<BodySharePtr> enterBody(std::size_t bytes,
                                                          const CallerRequest &request);
    /// Waits for the first bytes of a request, at most for the idle timeout.
    [[nodiscard]] asio::awaitable<bool> waitForBytes();
    /// Whether a request may come over this connection: on one between nodes it has to bear the
    /// fleet's seal. Drops the terms of a relay from the request of a caller.
    [[nodiscard]] bool isPermitted(CallerRequest &request) const;
    [[nodiscard]] CallerLimits callerLimits() const;
    /// Rejects a request that could not be read, if its caller can still receive an answer.
    [[nodiscard]] asio::awaitable<void> rejectBroken(ErrorCode error);
    /// Answers with an empty body and closes the connection.
    [[nodiscard]] asio::awaitable<void> rejectRequest(int status, std::string_view lines = {});
    /// Does the same and discards what still comes of the request: a connection that is closed with
    /// unread bytes is reset, which may take the answer from the caller.
    [[nodiscard]] asio::awaitable<void> rejectUnread(int status, std::string_view lines = {});
    /// Cancels the current exchange when the caller closes the connection.
    void watchForClose();
    /// Cancels the current exchange if the caller has closed the connection; else checks again
    /// after a while.
    void checkForClose();
    [[nodiscard]] asio::awaitable<bool> write(std::string bytes) override;
    [[nodiscard]] std::string connectionLine() override;
    [[nodiscard]] bool hasCallerLeft() override;
    void close();

    TrafficState &m_state;
    Tcp::socket m_socket;
    SessionKind m_kind;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<DeadlineTimer> m_deadlineTimer;
    std::shared_ptr<DeadlineTimer> m_closeCheck; ///< null until bytes lay behind a request
    std::shared_ptr<Exchange> m_exchange;
    bool m_keepsOpen = true;
    bool m_isReading = false; ///< a request has been received in part
};

} // namespace vanilladyke
