#pragma once

#include "vanilladyke/traffic/exchange.hpp"

/// Server side of a caller's HTTP/1.1 connection.
namespace vanilladyke {

/// @brief Reads requests from a connection and handles them one at a time; pipelined requests wait
/// for the answer to the previous one.
class CallerSession : public std::enable_shared_from_this<CallerSession>, public AnswerSink
{
public:
    CallerSession(TrafficState &state, Tcp::socket socket);

    void start();
    /// @brief Closes the connection, after the current answer if a request is being handled.
    void closeWhenIdle();
    [[nodiscard]] bool isBusy() const { return m_exchange != nullptr; }

private:
    [[nodiscard]] asio::awaitable<void> run();
    /// Reads the next request. @return false if the connection has to be closed
    [[nodiscard]] asio::awaitable<bool> readRequest(CallerRequest *request);
    /// Waits for the first bytes of a request, at most for the idle timeout.
    [[nodiscard]] asio::awaitable<bool> waitForBytes();
    /// Answers with an empty body and closes the connection.
    [[nodiscard]] asio::awaitable<void> rejectRequest(int status);
    /// Cancels the current exchange when the caller closes the connection.
    void watchForClose();
    [[nodiscard]] asio::awaitable<bool> write(std::string bytes) override;
    [[nodiscard]] std::string connectionLine() override;
    void close();

    TrafficState &m_state;
    Tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<DeadlineTimer> m_deadlineTimer;
    std::shared_ptr<Exchange> m_exchange;
    bool m_keepsOpen = true;
    bool m_isReading = false; ///< a request has been received in part
};

} // namespace vanilladyke
