#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/traffic/backend_pool.hpp"

#include <memory>
#include <unordered_map>

/// Determines whether a lost connection means that the engine's process has ended.
///
/// A connection reset may also come from the network path or from an engine that sheds load or
/// aborts one answer. Only a process that has ended no longer listens on its port, so a new
/// connection is refused at once. A timeout proves nothing.
namespace vanilladyke {

/// @brief Runs and caches the checks of one node. For use on the traffic thread only.
class EngineLivenessProbe
{
public:
    /// A reachable host in a nearby data centre accepts or refuses a connection sooner.
    static constexpr Duration CheckTimeout = std::chrono::milliseconds(150);
    /// How long a negative result is reused. It is shared by the requests that lost their
    /// connection to the engine at the same moment; later the engine may have ended after all.
    static constexpr Duration ResultLifetime = std::chrono::milliseconds(50);

    EngineLivenessProbe(asio::io_context &context, BackendPool &pool);

    /// @brief Checks whether the engine still accepts connections; concurrent calls for one engine
    /// share a check. A connection that is established goes into the pool.
    [[nodiscard]] asio::awaitable<bool> hasEnded(EngineId engine, Endpoint endpoint);
    /// @brief Whether the engine was found to have ended before the request was sent.
    [[nodiscard]] bool hadEndedBefore(const EngineId &engine, TimePoint sentAt) const;

private:
    /// How long the result for an ended engine is kept. A restarted engine has a new id.
    static constexpr Duration EndedRetention = std::chrono::seconds(30);

    struct Check
    {
        Check(asio::io_context &context, TimePoint began)
            : done(context)
            , at(began)
        {
            done.expires_after(CheckTimeout);
        }

        asio::steady_timer done; ///< cancelled when the check completes
        bool isOver = false;
        bool hasEnded = false;
        TimePoint at;
    };

    [[nodiscard]] asio::awaitable<void> run(std::shared_ptr<Check> check, EngineId engine,
                                            Endpoint endpoint);
    void removeExpired(TimePoint now);

    asio::io_context &m_context;
    BackendPool &m_pool;
    std::unordered_map<EngineId, std::shared_ptr<Check>> m_checks;
};

} // namespace vanilladyke
