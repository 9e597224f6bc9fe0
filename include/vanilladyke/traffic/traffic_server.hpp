#pragma once

#include "vanilladyke/traffic/caller_session.hpp"

#include <list>

/// Listeners of a node for callers, readiness probes and metrics.
namespace vanilladyke {

/// @brief Addresses on which a node listens.
struct ListenSettings
{
    Endpoint callers;
    Endpoint ready; ///< for the platform's readiness probes
    std::string readyPath;
    std::optional<Endpoint> metrics;
    std::optional<Endpoint> relays; ///< for requests that other nodes hand on
};

/// @brief Accepts callers and serves the readiness and metrics endpoints. For use on the context's
/// thread only.
class TrafficServer
{
public:
    TrafficServer(TrafficState &state, ListenSettings settings);

    /// @brief Starts listening. @return the error with its address; none on success
    [[nodiscard]] std::optional<std::string> listen();
    /// @brief Reports not ready from now on and closes each connection after its next answer.
    void beginDrain();
    /// @brief Stops accepting connections and closes those without a request in progress.
    void stopAccepting();
    [[nodiscard]] bool isIdle() const { return m_state.openExchanges->empty(); }
    /// @brief Whether the readiness probe succeeds.
    [[nodiscard]] bool isReady() const;
    /// @brief Supplies text to append to the metrics page.
    std::function<std::string()> metricsText;

private:
    [[nodiscard]] bool open(Tcp::acceptor &acceptor, const Endpoint &endpoint, std::string *error);
    /// Accepts connections of callers, or of other nodes that hand on requests.
    [[nodiscard]] asio::awaitable<void> acceptSessions(Tcp::acceptor &acceptor, SessionKind kind);
    [[nodiscard]] asio::awaitable<void> acceptStatusConnections(Tcp::acceptor &acceptor);
    [[nodiscard]] asio::awaitable<void> serveStatus(Tcp::socket socket);

    TrafficState &m_state;
    ListenSettings m_settings;
    Tcp::acceptor m_callers;
    Tcp::acceptor m_ready;
    Tcp::acceptor m_metrics;
    Tcp::acceptor m_relays;
    std::list<std::weak_ptr<CallerSession>> m_sessions;
    std::size_t m_accepted = 0;
};

} // namespace vanilladyke
