#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/control/fleet_store.hpp"
#include "vanilladyke/gateway/answer_so_far.hpp"
#include "vanilladyke/gateway/engine_exchange.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/gateway/placer.hpp"
#include "vanilladyke/gateway/traffic_control.hpp"
#include "vanilladyke/policy/stream_guard.hpp"
#include "vanilladyke/policy/stream_recovery.hpp"

#include <atomic>
#include <memory>
#include <variant>
#include <vector>

/// A conversation carries one request's answer from the engines to the caller, over as many
/// attempts as that takes.
namespace vanilladyke {

class ReaderThreads;
class StreamCanceller;

/// @brief What conversations need of the node.
struct ConversationEnvironment
{
    const FleetStore &fleet;
    TrafficControl &control;
    ReaderThreads &threads;
    StreamCanceller &canceller;
    const BackendTls &tls;
    const std::atomic<bool> &hurried; ///< the node stops without waiting for answers
};

/// @brief Nothing came until the given time; the conversation goes on.
struct StillWaiting
{};

/// @brief What the next look at a conversation brings. A Refusal ends it.
using StreamStep = std::variant<StreamFrame, StillWaiting, Refusal>;

/// @brief One request under way. For one thread at a time; ending it cancels what still runs.
class Conversation
{
public:
    Conversation(RequestContext context, const ConversationEnvironment &environment);
    Conversation(const Conversation &) = delete;
    Conversation &operator=(const Conversation &) = delete;
    ~Conversation();

    /// @brief Waits for the next frame of the answer. @param until StillWaiting from then on
    [[nodiscard]] StreamStep next(TimePoint until);
    [[nodiscard]] const RequestContext &context() const { return m_context; }
    /// @brief Where the caller is after the frame that next() gave last.
    [[nodiscard]] StreamPosition position() const;

private:
    void takeWeightsInService();
    [[nodiscard]] std::optional<Refusal> prepareAttempt(TimePoint now);
    void resumeAt(const StreamPosition &position);
    [[nodiscard]] std::optional<Refusal> chooseEngine(TimePoint now);
    void startAttempt(TimePoint now);
    [[nodiscard]] std::optional<StreamStep> beginAttempt(TimePoint until);
    [[nodiscard]] std::optional<StreamStep> readAttempt(TimePoint until);
    [[nodiscard]] Outcome<std::optional<StreamFrame>, ExchangeFailure> accept(StreamFrame frame);
    [[nodiscard]] std::optional<Refusal> breakOff(const ExchangeFailure &why);
    [[nodiscard]] bool mayMove();
    [[nodiscard]] std::optional<Refusal> moveElsewhere(const ExchangeFailure &why, TimePoint now);
    void noteFrame(const StreamFrame &frame);
    void teachPlacement(const StreamFrame &frame);
    void observe(bool failed, Duration took) const;
    /// @brief Notes whether the engine ended under the request.
    void noteEngineEnd(const ExchangeFailure &why, TimePoint now);
    /// @return why the request is sent to no engine, if it is held
    [[nodiscard]] std::optional<Refusal> refuseHeld(TimePoint now);
    void logAttemptEnd(const ExchangeFailure &why, RecoveryStep step) const;
    [[nodiscard]] TimePoint silentAt() const;
    [[nodiscard]] bool engineLives() const;
    [[nodiscard]] bool waitForEngine(TimePoint now);
    [[nodiscard]] Refusal giveUp(std::string detail);
    void leaveEngine();

    RequestContext m_context;
    ConversationEnvironment m_environment;
    Random m_random{entropySeed()};
    ExchangeState m_state; ///< over all attempts; every refusal takes its ran from here
    StreamGuard m_guard;
    AnswerSoFar m_answer;
    EngineCall m_call; ///< the stream under way; its engine's id is empty when there is none
    std::unique_ptr<EngineExchange> m_exchange; ///< the attempt under way
    std::unique_ptr<EngineUse> m_use;           ///< counts the stream under way
    std::unique_ptr<AttemptWork> m_work;        ///< teaches placement; none if resumed for a caller
    Duration m_predictedFirstToken{};
    TimePoint m_attemptedAt;
    std::vector<EngineId> m_excluded;
    std::optional<TimePoint> m_firstFrameAt; ///< from the engine of the stream under way
    std::optional<BrokenOff> m_brokenOff;    ///< that engine, and nothing came from it since
    std::uint32_t m_fruitlessHere = 0;
    std::uint32_t m_fruitless = 0;
    bool m_progress = false; ///< the attempt under way has brought a frame
    bool m_over = false;
    TimePoint m_giveUpAt;
    TimePoint m_notBefore; ///< the next attempt waits until then
};

} // namespace vanilladyke
