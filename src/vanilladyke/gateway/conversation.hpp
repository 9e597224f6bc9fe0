#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/gateway/placer.hpp"
#include "vanilladyke/gateway/traffic_control.hpp"

#include <memory>
#include <variant>

/// A conversation carries one request's answer from the engines to the caller.
namespace vanilladyke {

/// @brief Nothing came until the given time; the conversation goes on.
struct StillWaiting
{};

/// @brief What the next look at a conversation brings. A Refusal ends it.
using StreamStep = std::variant<StreamFrame, StillWaiting, Refusal>;

/// @brief One request under way. For one thread at a time.
class Conversation
{
public:
    Conversation(RequestContext context, const FleetStore &fleet, TrafficControl &control);

    /// @brief Waits for the next frame of the answer. @param until StillWaiting from then on
    [[nodiscard]] StreamStep next(TimePoint until);
    [[nodiscard]] const RequestContext &context() const { return m_context; }

private:
    [[nodiscard]] std::optional<Refusal> startAttempt();
    void noteFirstToken();
    [[nodiscard]] StreamStep afterFailure(const ExchangeFailure &failure);

    RequestContext m_context;
    const FleetStore &m_fleet;
    TrafficControl &m_control;
    std::vector<EngineId> m_failed; ///< engines that did not bring the first token
    std::optional<PlacedAttempt> m_attempt;
    std::unique_ptr<EngineUse> m_use;
    TimePoint m_attemptedAt;
    bool m_answered = false; ///< the caller has, or will have, the first token
    std::unique_ptr<EngineExchange> m_exchange;
    ExchangeState m_state; ///< over all attempts; every refusal takes its ran from here
    TimePoint m_silentAt;  ///< the exchange counts as dead from then on
};

} // namespace vanilladyke
