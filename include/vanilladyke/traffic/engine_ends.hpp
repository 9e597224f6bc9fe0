#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/traffic/backend_pool.hpp"

#include <memory>
#include <unordered_map>

/// Tells an engine whose process ended from one whose connection broke off.
///
/// A reset connection may come from a process that ended, from something on the path, or from an
/// engine that sheds or breaks off one answer. Only the first leaves nobody who listens at the
/// address: a connection that is refused at once shows it. Silence shows nothing.
namespace vanilladyke {

/// @brief The checks of one node. Lives on the traffic thread.
class EngineEnds
{
public:
    /// An engine that lives, or a host that is reached, answers sooner from any data centre near.
    static constexpr Duration Patience = std::chrono::milliseconds(150);
    /// What a check showed holds for others that lost the same engine at that moment; a little
    /// later the engine may have ended after all.
    static constexpr Duration ResultLife = std::chrono::milliseconds(50);

    EngineEnds(asio::io_context &context, BackendPool &pool);

    /// @brief Asks whether anybody listens at the engine's address; one check at a time for each.
    /// A connection that comes about is kept for requests.
    [[nodiscard]] asio::awaitable<bool> hasEnded(EngineId engine, Endpoint endpoint);
    /// @brief Whether the request left later than the engine was seen to have ended.
    [[nodiscard]] bool wasKnownEnded(const EngineId &engine, TimePoint sentAt) const;

private:
    /// How long an ended engine is remembered; its id never comes again.
    static constexpr Duration Memory = std::chrono::seconds(30);

    struct Check
    {
        Check(asio::io_context &context, TimePoint began)
            : done(context)
            , at(began)
        {
            done.expires_after(Patience);
        }

        asio::steady_timer done; ///< cancelled when the check is over
        bool isOver = false;
        bool hasEnded = false;
        TimePoint at;
    };

    [[nodiscard]] asio::awaitable<void> run(std::shared_ptr<Check> check, EngineId engine,
                                            Endpoint endpoint);
    void forgetOld(TimePoint now);

    asio::io_context &m_context;
    BackendPool &m_pool;
    std::unordered_map<EngineId, std::shared_ptr<Check>> m_checks;
};

} // namespace vanilladyke
