#pragma once

#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"

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
    Conversation(RequestContext context, const FleetStore &fleet);

    /// @brief Waits for the next frame of the answer. @param until StillWaiting from then on
    [[nodiscard]] StreamStep next(TimePoint until);
    [[nodiscard]] const RequestContext &context() const { return m_context; }

private:
    [[nodiscard]] std::optional<Refusal> startAttempt();

    RequestContext m_context;
    const FleetStore &m_fleet;
    std::unique_ptr<EngineExchange> m_exchange;
    ExchangeState m_state; ///< over all attempts; every refusal takes its ran from here
    TimePoint m_silentAt;  ///< the exchange counts as dead from then on
};

} // namespace vanilladyke
