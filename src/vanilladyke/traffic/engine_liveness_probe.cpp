#include "vanilladyke/traffic/engine_liveness_probe.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

EngineLivenessProbe::EngineLivenessProbe(asio::io_context &context, BackendPool &pool)
    : m_context(context)
    , m_pool(pool)
{}

asio::awaitable<bool> EngineLivenessProbe::hasEnded(EngineId engine, Endpoint endpoint)
{
    const TimePoint now = MonotonicClock::now();
    removeExpired(now);
    std::shared_ptr<Check> &known = m_checks[engine];
    const bool isFresh = known != nullptr && (known->hasEnded || now - known->at < ResultLifetime);
    if (!isFresh) {
        known = std::make_shared<Check>(m_context, now);
        asio::co_spawn(m_context, run(known, std::move(engine), std::move(endpoint)),
                       asio::detached);
    }
    const std::shared_ptr<Check> check = known;
    if (!check->isOver) {
        ErrorCode ignored;
        co_await check->done.async_wait(redirectError(ignored));
    }
    co_return check->hasEnded;
}

asio::awaitable<void> EngineLivenessProbe::run(std::shared_ptr<Check> check, EngineId engine,
                                               Endpoint endpoint)
{
    ErrorCode why;
    const BackendConnectionPtr connection =
            co_await m_pool.connect(engine, std::move(endpoint), &why);
    check->isOver = true;
    check->hasEnded = connection == nullptr && why == asio::error::connection_refused;
    check->done.cancel();
    if (connection != nullptr) {
        m_pool.putBack(connection, std::nullopt, MonotonicClock::now());
    }
    LogEvent("engine_checked")
            .field("backend", engine.str())
            .field("ended", check->hasEnded)
            .field("why", why ? why.message() : "connection accepted")
            .field("took_ms", MonotonicClock::now() - check->at);
}

bool EngineLivenessProbe::hadEndedBefore(const EngineId &engine, TimePoint sentAt) const
{
    const auto known = m_checks.find(engine);
    return known != m_checks.end() && known->second->hasEnded && known->second->at < sentAt;
}

void EngineLivenessProbe::removeExpired(TimePoint now)
{
    std::erase_if(m_checks,
                  [now](const auto &item) { return now - item.second->at > EndedRetention; });
}

} // namespace vanilladyke
