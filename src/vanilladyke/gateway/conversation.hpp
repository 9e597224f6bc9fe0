#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/gateway/partial_answer.hpp"
#include "vanilladyke/gateway/placer.hpp"
#include "vanilladyke/gateway/traffic_control.hpp"
#include "vanilladyke/policy/stream_guard.hpp"
#include "vanilladyke/policy/stream_recovery.hpp"

#include <atomic>
#include <memory>
#include <variant>
#include <vector>

/// A conversation forwards one request's answer from the engines to the caller, using as many
/// attempts as needed.
namespace vanilladyke {

class ReaderThreads;
class StreamCanceller;

/// @brief The parts of the node that conversations use.
struct ConversationEnvironment
{
    const FleetStore &fleet;
    TrafficControl &control;
    ReaderThreads &threads;
    StreamCanceller &canceller;
    const BackendTls &tls;
    const std::atomic<bool> &aborting; ///< the node stops without waiting for answers
};

/// @brief No frame arrived before the given time; the conversation continues.
struct StillWaiting
{};

/// @brief The result of one step of a conversation. A Refusal ends it.
using StreamStep = std::variant<StreamFrame, StillWaiting, Refusal>;

/// @brief One request in progress. Not thread-safe; the destructor cancels a stream that may still
/// run.
class Conversation
{
public:
    Conversation(RequestContext context, const ConversationEnvironment &environment);
    Conversation(const Conversation &) = delete;
    Conversation &operator=(const Conversation &) = delete;
    ~Conversation();

    /// @brief Waits for the next frame of the answer.
    /// @param until returns StillWaiting from then on
    [[nodiscard]] StreamStep next(TimePoint until);
    [[nodiscard]] const RequestContext &context() const { return m_context; }
    /// @brief The caller's position after the last frame that next() returned.
    [[nodiscard]] StreamPosition position() const;

private:
    void updateWeights();
    [[nodiscard]] std::optional<Refusal> prepareAttempt(TimePoint now);
    void resumeAt(const StreamPosition &position);
    [[nodiscard]] std::optional<Refusal> chooseEngine(TimePoint now);
    void startAttempt(TimePoint now);
    [[nodiscard]] std::optional<StreamStep> beginAttempt(TimePoint until);
    [[nodiscard]] std::optional<StreamStep> readAttempt(TimePoint until);
    [[nodiscard]] Outcome<std::optional<StreamFrame>, ExchangeFailure> accept(StreamFrame frame);
    [[nodiscard]] std::optional<Refusal> handleAttemptFailure(const ExchangeFailure &why);
    [[nodiscard]] bool maySwitchEngine();
    [[nodiscard]] std::optional<Refusal> switchEngine(const ExchangeFailure &why, TimePoint now);
    void recordFrame(const StreamFrame &frame);
    void updatePlacer(const StreamFrame &frame);
    void observe(bool failed, Duration duration) const;
    /// @brief Records an engine that terminated while running the request.
    void recordEngineTermination(const ExchangeFailure &why, TimePoint now);
    /// @return a refusal if the request is quarantined
    [[nodiscard]] std::optional<Refusal> refuseQuarantined(TimePoint now);
    void logAttemptEnd(const ExchangeFailure &why, RecoveryStep step) const;
    [[nodiscard]] TimePoint idleDeadline() const;
    [[nodiscard]] bool engineAlive() const;
    [[nodiscard]] bool waitForEngine(TimePoint now);
    [[nodiscard]] Refusal giveUp(std::string detail);
    void releaseEngine();

    RequestContext m_context;
    ConversationEnvironment m_environment;
    Random m_random{entropySeed()};
    ExchangeState m_state; ///< over all attempts; source of every refusal's `ran`
    StreamGuard m_guard;
    PartialAnswer m_answer;
    EngineCall m_call;                          ///< current stream; empty engine id if none
    std::unique_ptr<EngineExchange> m_exchange; ///< current attempt
    std::unique_ptr<EngineUse> m_use;           ///< counts the current stream
    std::unique_ptr<AttemptWork> m_work;        ///< reports to the placer; null after a resume
    Duration m_predictedFirstToken{};
    TimePoint m_attemptedAt;
    std::vector<EngineId> m_excluded;
    std::optional<TimePoint> m_firstFrameAt;        ///< from the current stream's engine
    std::optional<ConnectionLoss> m_connectionLoss; ///< to that engine, with no data since
    std::uint32_t m_failuresOnEngine = 0;    ///< attempts without a frame, on the current engine
    std::uint32_t m_consecutiveFailures = 0; ///< the same, over all engines
    bool m_hasProgress = false;              ///< the current attempt has delivered a frame
    bool m_finished = false;
    TimePoint m_giveUpAt;
    TimePoint m_notBefore; ///< earliest start of the next attempt
};

} // namespace vanilladyke
