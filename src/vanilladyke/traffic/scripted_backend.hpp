#pragma once

#include "vanilladyke/traffic/caller_session.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// A backend server for tests: it answers each request with bytes that the test wrote.
namespace vanilladyke {

/// @brief A request as the server read it.
struct SeenRequest
{
    std::string target;
    std::map<std::string, std::string> fields;
    std::string body;
    int connection = 0; ///< counts the server's connections
};

/// @brief What the server does with a request.
struct ScriptedAnswer
{
    std::string bytes;
    enum class Then { KeepOpen, Close, Reset, Silence } then = Then::KeepOpen;
    Duration after{}; ///< the bytes are written so much later
};

/// @brief Listens on a free loopback port; lives on the test's context.
class ScriptedBackend
{
public:
    using Script = std::function<ScriptedAnswer(const SeenRequest &)>;

    ScriptedBackend(asio::io_context &context, Script script);

    [[nodiscard]] Endpoint endpoint() const;
    std::vector<SeenRequest> seen;
    int closedByPeer = 0; ///< connections that ended while the server kept silent

private:
    [[nodiscard]] asio::awaitable<void> accept();
    [[nodiscard]] asio::awaitable<void> serve(Tcp::socket socket, int number);

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    Script m_script;
    int m_connections = 0;
};

/// @brief A dialect with plain names: "Id", "Key", "Prompt", "Stamp", "Refused" and so on.
[[nodiscard]] Dialect plainDialect();

} // namespace vanilladyke
