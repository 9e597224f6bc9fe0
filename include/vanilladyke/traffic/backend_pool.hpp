#pragma once

#include "vanilladyke/model/ids.hpp"
#include "vanilladyke/traffic/asio.hpp"
#include "vanilladyke/traffic/ticker.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Connections to backend servers.
///
/// What goes wrong with kept connections: the server closes one just as a request goes out, sends a
/// second answer that nobody asked for, or the path goes silent for good. Idle connections are
/// watched, so that a close or stray bytes end them at once; one in any doubt is never used again.
namespace vanilladyke {

/// @brief One connection; used by one exchange at a time.
struct BackendConnection : std::enable_shared_from_this<BackendConnection>
{
    BackendConnection(asio::io_context &context, EngineId engineId)
        : socket(context)
        , engine(std::move(engineId))
        , timed(std::make_shared<Timed>())
    {}
    ~BackendConnection();

    void close();

    Tcp::socket socket;
    boost::beast::flat_buffer buffer;
    EngineId engine;
    std::shared_ptr<Timed> timed;
    std::string head; ///< of the request that is being written
    std::optional<TimePoint> usableUntil;
    bool isOpen = false;
    bool isIdle = false;
    bool isWriting = false;
    bool isReused = false;
    std::uint64_t use = 0; ///< counts the times that it was taken
    std::shared_ptr<int> openCountOwner;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// @brief All connections of one node.
class BackendPool
{
public:
    /// Long enough for a lost opening packet to be noticed, short enough to try another server.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
    /// A server that states no time keeps idle connections at least about this long.
    static constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
    /// Closes and requests cross within this span.
    static constexpr Duration KeepAliveMargin = std::chrono::milliseconds(700);

    BackendPool(asio::io_context &context, Ticker &ticker);

    /// @brief An idle connection to the server, if there is one. @param now for its age
    [[nodiscard]] BackendConnectionPtr take(const EngineId &engine, TimePoint now);
    /// @brief Opens a connection. @param why set if none came about
    /// @return null if none came about in time
    [[nodiscard]] asio::awaitable<BackendConnectionPtr> connect(EngineId engine, Endpoint endpoint,
                                                                ErrorCode *why = nullptr);
    /// @brief Gives a connection back after a whole answer.
    void giveBack(const BackendConnectionPtr &connection, std::optional<Duration> keepAlive,
                  TimePoint now);
    [[nodiscard]] int openTo(const EngineId &engine) const;
    [[nodiscard]] std::uint64_t opened() const { return m_opened; }
    /// @brief Closes idle connections to servers that are gone, and those whose time is over.
    void tidy(const std::function<bool(const EngineId &)> &isKnown, TimePoint now);

private:
    struct PerEngine
    {
        std::vector<BackendConnectionPtr> idle; ///< last used last
        std::shared_ptr<int> open = std::make_shared<int>(0);
    };

    void watch(const BackendConnectionPtr &connection);

    asio::io_context &m_context;
    Ticker &m_ticker;
    std::unordered_map<EngineId, PerEngine> m_engines;
    std::uint64_t m_opened = 0;
};

/// @brief Detects a path that went silent while data or a probe is unacknowledged.
void setSilenceTimeout(Tcp::socket &socket, Duration timeout);

} // namespace vanilladyke
