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

/// Pool of keep-alive connections to backend servers.
///
/// Reusing a connection fails if the server closes it while a request is being sent, if the server
/// sends an unsolicited second answer, or if the network path stops delivering packets. Idle
/// connections are therefore monitored and closed on a remote close or on unexpected bytes. A
/// connection whose state is uncertain is closed instead of being reused.
namespace vanilladyke {

/// @brief A connection to a backend server. At most one exchange uses it at a time.
struct BackendConnection : std::enable_shared_from_this<BackendConnection>
{
    BackendConnection(asio::io_context &context, EngineId engineId)
        : socket(context)
        , engine(std::move(engineId))
        , deadlineTimer(std::make_shared<DeadlineTimer>())
    {}
    ~BackendConnection();

    void close();

    /// A head, or the frame of a chunk, has to end within so many bytes. The parser would otherwise
    /// go on to read an endless one into memory.
    static constexpr std::size_t MaxUnparsedBytes = 65536;

    Tcp::socket socket;
    boost::beast::flat_buffer buffer{MaxUnparsedBytes};
    EngineId engine;
    std::shared_ptr<DeadlineTimer> deadlineTimer;
    std::string head; ///< head of the request being written
    std::optional<TimePoint> usableUntil;
    bool isOpen = false;
    bool isIdle = false;
    bool isWriting = false; ///< a request is being written
    bool hasWriteFailed = false;
    bool isReused = false;
    std::uint64_t useCount = 0; ///< number of times the connection was taken from the pool
    std::shared_ptr<int> openCount;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// @brief All backend connections of one node.
class BackendPool
{
public:
    /// Leaves time to detect a lost SYN and still try another server.
    static constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
    /// Assumed for a server that announces no keep-alive time: servers keep idle connections at
    /// least about this long.
    static constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
    /// Idle connections are dropped this long before the server's keep-alive time ends, so that a
    /// request does not cross with the server's close.
    static constexpr Duration KeepAliveMargin = std::chrono::milliseconds(700);

    BackendPool(asio::io_context &context, Ticker &ticker);

    /// @brief Takes the most recently used idle connection to the server that has not expired.
    /// @return null if there is none
    [[nodiscard]] BackendConnectionPtr take(const EngineId &engine, TimePoint now);
    /// @brief Opens a connection.
    /// @param why set to the error if the connection fails
    /// @return null on failure or after ConnectTimeout
    [[nodiscard]] asio::awaitable<BackendConnectionPtr> connect(EngineId engine, Endpoint endpoint,
                                                                ErrorCode *why = nullptr);
    /// @brief Returns a connection to the pool after a complete answer.
    /// @param keepAlive time that the server announced; none if it announced none
    void putBack(const BackendConnectionPtr &connection, std::optional<Duration> keepAlive,
                 TimePoint now);
    /// @brief Called with the result of each attempt to connect and how long it took. An attempt
    /// that takes ConnectTimeout ends with timed_out.
    std::function<void(const EngineId &, const ErrorCode &, Duration)> onConnectEnded =
            [](const EngineId &, const ErrorCode &, Duration) {};
    /// @brief Number of open connections to the server, idle or in use.
    [[nodiscard]] int openConnections(const EngineId &engine) const;
    /// @brief Number of connection attempts since the start.
    [[nodiscard]] std::uint64_t connectionsOpened() const { return m_connectionsOpened; }
    /// @brief Closes idle connections that have expired or whose server is no longer known.
    void closeStale(const std::function<bool(const EngineId &)> &isKnown, TimePoint now);

private:
    struct EngineConnections
    {
        std::vector<BackendConnectionPtr> idle; ///< least recently used first
        std::shared_ptr<int> open = std::make_shared<int>(0);
    };

    /// Closes an idle connection when the server closes it or sends anything on it.
    void monitorIdle(const BackendConnectionPtr &connection);

    asio::io_context &m_context;
    Ticker &m_ticker;
    std::unordered_map<EngineId, EngineConnections> m_engines;
    std::uint64_t m_connectionsOpened = 0;
};

} // namespace vanilladyke
