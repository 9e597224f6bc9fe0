#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/prefix_chain.hpp"
#include "vanilladyke/platform/backend_client.hpp"
#include "vanilladyke/policy/exchange_state.hpp"

#include <cstdint>
#include <memory>
#include <string>

/// One exchange with one engine: sends a request and reads the frames of its answer.
namespace vanilladyke {

/// @brief A request as it is sent to an engine.
struct EngineCall
{
    EngineView engine;
    BackendTls tls;
    WeightsVersion weights; ///< required of the answer
    RequestId request;
    StreamId stream;
    std::string attempt; ///< id of this exchange; frames with another id are rejected
    std::string path;    ///< /v1/chat/completions or /v1/completions
    std::string body;
    PrefixChain chain;
    Priority priority = Priority::Normal;
    std::uint32_t resumeOffset = 0; ///< frames of the answer to skip
    std::uint32_t answerOffset = 0; ///< answer tokens appended to the prompt
    Duration idleTimeout =
            std::chrono::seconds(2); ///< the bundle's limit; the reader's time-out is a multiple
};

/// @brief One event of an answer, or its end.
struct StreamFrame
{
    std::string attempt;      ///< id given in the frame itself
    std::uint32_t offset = 0; ///< frames up to and including this; at the end, of the answer
    std::string data;         ///< the event's JSON as the engine sent it
    bool end = false;
};

/// @brief Why an exchange failed.
enum class ExchangeError {
    ConnectFailed, ///< nothing was sent
    Rejected,      ///< the engine refused the call and certainly did not run it
    Reset,         ///< connection lost before the end marker, or a server error
    TimedOut,      ///< no data before the deadline
    Mismatch,      ///< answer of another attempt, incarnation or weights version
};

/// @brief Why an exchange failed, with a detail text for the log.
struct ExchangeFailure
{
    ExchangeError error = ExchangeError::Reset;
    std::string detail;
};

[[nodiscard]] std::string_view toString(ExchangeError error);

/// @brief The event that tells ExchangeState whether the call may have run.
[[nodiscard]] ExchangeEvent eventOf(ExchangeError error);

class ReaderThreads;

/// @brief An exchange in progress. The destructor closes the connection without waiting.
class EngineExchange
{
public:
    EngineExchange(const EngineCall &call, ReaderThreads &threads);
    EngineExchange(const EngineExchange &) = delete;
    EngineExchange &operator=(const EngineExchange &) = delete;
    ~EngineExchange();

    /// @brief Waits for the next frame. @return TimedOut once the deadline has passed
    [[nodiscard]] Outcome<StreamFrame, ExchangeFailure> next(TimePoint deadline);
    /// @brief When the engine last sent any bytes, comments included; initially, when the request
    /// was sent.
    [[nodiscard]] TimePoint lastReceivedAt() const;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace vanilladyke
