#pragma once

#include "vanilladyke/traffic/caller_session.hpp"

#include <list>

/// The listening side of a node.
namespace vanilladyke {

/// @brief Where a node listens.
struct ListenSettings
{
    Endpoint callers;
    Endpoint ready; ///< the platform asks here whether new connections may come
    std::string readyPath;
    std::optional<Endpoint> metrics;
};

/// @brief Accepts callers and answers the platform's questions. Lives on one context's thread.
class TrafficServer
{
public:
    TrafficServer(TrafficState &state, ListenSettings settings);

    /// @brief Opens the ports. @return what failed, or none
    [[nodiscard]] std::optional<std::string> listen();
    /// @brief Not ready from now on; connections end with their next answer.
    void announceStop();
    /// @brief Takes no connection any more and closes those on which no request is under way.
    void leave();
    [[nodiscard]] bool isIdle() const { return m_state.openExchanges->empty(); }
    /// @brief Whether the node is ready for new connections.
    [[nodiscard]] bool isReady() const;
    /// @brief Text for the metrics address.
    std::function<std::string()> metricsText;

private:
    [[nodiscard]] bool open(Tcp::acceptor &acceptor, const Endpoint &endpoint, std::string *error);
    [[nodiscard]] asio::awaitable<void> acceptCallers();
    [[nodiscard]] asio::awaitable<void> acceptPlain(Tcp::acceptor &acceptor);
    [[nodiscard]] asio::awaitable<void> servePlain(Tcp::socket socket);

    TrafficState &m_state;
    ListenSettings m_settings;
    Tcp::acceptor m_callers;
    Tcp::acceptor m_ready;
    Tcp::acceptor m_metrics;
    std::list<std::weak_ptr<CallerSession>> m_sessions;
    std::size_t m_accepted = 0;
};

} // namespace vanilladyke
