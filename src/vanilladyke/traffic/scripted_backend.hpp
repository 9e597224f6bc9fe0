#pragma once

#include "vanilladyke/traffic/caller_session.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Backend server for tests, which answers each request with bytes that the test supplies.
namespace vanilladyke {

/// @brief A request as the server received it.
struct ReceivedRequest
{
    std::string target;
    std::map<std::string, std::string> fields;
    std::string body;
    int connection = 0; ///< number of the connection, from 1 in order of acceptance
};

/// @brief A later part of an answer, written as soon as a condition holds.
struct ScriptedPart
{
    std::string bytes;
    std::function<bool()> when; ///< asked again and again until it holds; none: at once
};

/// @brief The server's reaction to a request.
struct ScriptedAnswer
{
    std::string bytes;
    enum class NextAction { KeepOpen, Close, Reset, Hang } nextAction = NextAction::KeepOpen;
    Duration after{};                  ///< delay before the bytes are written
    std::vector<ScriptedPart> parts{}; ///< written in order after the bytes
};

/// @brief Listens on a free loopback port and runs on the test's context.
class ScriptedBackend
{
public:
    using Script = std::function<ScriptedAnswer(const ReceivedRequest &)>;

    ScriptedBackend(asio::io_context &context, Script script);

    [[nodiscard]] Endpoint endpoint() const;
    std::vector<ReceivedRequest> received;
    int closedByPeer = 0; ///< connections that the node closed while no answer was sent
    int completed = 0;    ///< answers written to their last part without an error

private:
    [[nodiscard]] asio::awaitable<void> accept();
    [[nodiscard]] asio::awaitable<void> serve(Tcp::socket socket, int number);

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    Script m_script;
    int m_connections = 0;
};

/// @brief Dialect for tests with short header names: "Id", "Key", "Model", "Stamp", "Refused" and
/// so on.
[[nodiscard]] Dialect testDialect();

} // namespace vanilladyke
