#pragma once

#include "vanilladyke/traffic/exchange.hpp"

/// One connection of a caller.
namespace vanilladyke {

/// @brief Reads requests one after another and has each answered before it reads the next.
class CallerSession : public std::enable_shared_from_this<CallerSession>, public AnswerSink
{
public:
    CallerSession(TrafficState &state, Tcp::socket socket);

    void start();
    /// @brief Closes the connection if no request is under way; else after its answer.
    void finish();
    [[nodiscard]] bool isBusy() const { return m_exchange != nullptr; }

private:
    [[nodiscard]] asio::awaitable<void> run();
    /// Reads the next request. @return whether there is one
    [[nodiscard]] asio::awaitable<bool> readRequest(CallerRequest *request);
    [[nodiscard]] asio::awaitable<bool> waitForBytes();
    [[nodiscard]] asio::awaitable<void> rejectHead(int status);
    void watchForClose();
    [[nodiscard]] asio::awaitable<bool> write(std::string bytes) override;
    [[nodiscard]] std::string connectionLine() override;
    void close();

    TrafficState &m_state;
    Tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::shared_ptr<Timed> m_timed;
    std::shared_ptr<Exchange> m_exchange;
    bool m_keepsOpen = true;
    bool m_isReading = false; ///< bytes of a request have come that is not whole
};

} // namespace vanilladyke
