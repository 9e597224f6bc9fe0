#pragma once

#include "vanilladyke/gateway/service_exchange.hpp"

#include "vanilladyke/traffic/asio.hpp"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

/// One call to a backend server of a plain service, over a connection of its own. The end of the
/// connection is told apart from its failure: only an orderly end completes an answer without a
/// length.
namespace vanilladyke {

/// @brief Connects, sends the call and reads the answer. Blocks the thread of exchange().
class ServiceConnection
{
public:
    ServiceConnection(Endpoint backend, BackendTls tls);

    /// @brief Sends the call once and reads the complete answer.
    /// @return TimedOut once the deadline has passed; ConnectFailed: no byte of the call was sent
    [[nodiscard]] Outcome<ServiceAnswer, ExchangeFailure> exchange(const ServiceCall &call,
                                                                   TimePoint deadline);
    /// @brief Ends the call in progress, or the next one, with an error. Thread-safe.
    void cancel();

private:
    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    // Coroutines leave their result in members: this compiler copies temporaries of such
    // expressions without their constructors.
    [[nodiscard]] asio::awaitable<void> run(const ServiceCall &call, TimePoint deadline);
    [[nodiscard]] asio::awaitable<void> runPlain(const ServiceCall &call);
    [[nodiscard]] asio::awaitable<void> runSecure(const ServiceCall &call);
    [[nodiscard]] asio::awaitable<void> connect(ErrorCode &error);
    /// Sends the call and reads its answer, without the informational ones before it.
    template <typename Stream>
    [[nodiscard]] asio::awaitable<void> sendAndRead(Stream &stream, const ServiceCall &call);
    void fail(ExchangeError kind, std::string detail);
    void notSent(const ErrorCode &error) { fail(ExchangeError::ConnectFailed, error.message()); }
    /// Takes the outcome of an exchange whose call was sent, wholly or in part.
    void ended(const ErrorCode &error, AnswerParser &parser);
    /// Closes the connection at this time, unless the timer is set anew or cancelled.
    void closeAt(TimePoint deadline);
    void close();

    const Endpoint m_backend;
    const BackendTls m_tls;
    asio::io_context m_context;
    Tcp::socket m_socket{m_context};
    asio::steady_timer m_timer{m_context};
    TimePoint m_deadline;
    bool m_isCancelled = false;
    Outcome<ServiceAnswer, ExchangeFailure> m_answer;
};

} // namespace vanilladyke
