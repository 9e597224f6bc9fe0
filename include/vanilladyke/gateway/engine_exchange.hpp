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

/// One exchange with one engine: a request sent, its frames read back one by one.
namespace vanilladyke {

/// @brief What goes to an engine.
struct EngineCall
{
    EngineView engine;
    BackendTls tls;
    WeightsVersion weights; ///< that the answer must come from
    RequestId request;
    StreamId stream;
    std::string attempt; ///< names this exchange; frames that name another are not ours
    std::string path;    ///< /v1/chat/completions or /v1/completions
    std::string body;
    PrefixChain chain;
    Priority priority = Priority::Normal;
    std::uint32_t resumeOffset = 0; ///< frames of the answer that need not be sent
    std::uint32_t answerOffset = 0; ///< tokens of the answer that the prompt ends with
    Duration silence =
            std::chrono::seconds(2); ///< the bundle's limit, for the reader's own time-out
};

/// @brief One event of an answer, or its end.
struct StreamFrame
{
    std::string attempt;      ///< that the frame belongs to, by its own word
    std::uint32_t offset = 0; ///< frames up to and with this one; at the end, of the whole answer
    std::string data;         ///< the event's JSON as the engine sent it
    bool end = false;
};

/// @brief Why an exchange broke off.
enum class ExchangeError {
    ConnectFailed, ///< nothing was sent
    Rejected,      ///< the engine refused the call and provably didn't run it
    Reset,         ///< the connection ended before the end marker, or with a server error
    Silent,        ///< nothing came until the deadline
    Mismatch,      ///< another attempt, incarnation or weights version answered
};

/// @brief Why an exchange broke off, with the words for the log.
struct ExchangeFailure
{
    ExchangeError error = ExchangeError::Reset;
    std::string detail;
};

[[nodiscard]] std::string_view toString(ExchangeError error);

/// @brief What the failure says about whether the call may have run.
[[nodiscard]] ExchangeEvent eventOf(ExchangeError error);

class ReaderThreads;

/// @brief An exchange under way; ending the object closes the connection without waiting.
class EngineExchange
{
public:
    EngineExchange(const EngineCall &call, ReaderThreads &threads);
    EngineExchange(const EngineExchange &) = delete;
    EngineExchange &operator=(const EngineExchange &) = delete;
    ~EngineExchange();

    /// @brief Waits for the next frame. @return Silent once the deadline has passed
    [[nodiscard]] Outcome<StreamFrame, ExchangeFailure> next(TimePoint deadline);
    /// @brief When the engine last sent anything, a comment included; at first, when it was asked.
    [[nodiscard]] TimePoint heardAt() const;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace vanilladyke
