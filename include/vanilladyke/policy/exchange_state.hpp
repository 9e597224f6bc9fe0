#pragma once

#include "vanilladyke/model/refusal.hpp"

/// Tracks the exchange of one call with backend servers and whether the call may have run.
///
/// The `ran` field of every refusal is derived from here. A call may be attempted several times in
/// sequence; one attempt with an unknown outcome makes the outcome of the whole call unknown,
/// whatever later attempts return.
namespace vanilladyke {

/// @brief Progress of the call.
enum class ExchangeStage {
    NothingSent, ///< no byte of the call has left this node
    MayBeSent,   ///< a server may have received the call or a part of it
    Refused,     ///< every server that may have received it provably refused it
    Answered,    ///< a server has started to answer
};

/// @brief Events of an exchange.
enum class ExchangeEvent {
    SendStarted,     ///< connecting; from now on bytes may be sent at any moment
    ConnectFailed,   ///< no connection was established, so no byte was sent
    RefusalReceived, ///< the server reported that it did not run the call
    AnswerReceived,  ///< the first part of the answer arrived
    ConnectionLost,  ///< reset, closed, timed out, or carried the answer of another call
};

/// @brief The exchange of one call, over all its attempts.
class ExchangeState
{
public:
    /// @brief Applies an event. An event that cannot follow the present stage has no effect.
    void apply(ExchangeEvent event);

    [[nodiscard]] ExchangeStage stage() const { return m_stage; }
    /// @brief Whether the call may have run. `No` only if nothing was sent, or every server that
    /// may have received something provably refused it.
    [[nodiscard]] Ran ran() const;

private:
    void endAttempt(ExchangeStage settled);

    ExchangeStage m_stage = ExchangeStage::NothingSent;
    bool m_attemptPending = false; ///< an attempt is in progress and not yet answered
    bool m_outcomeUnknown = false; ///< the outcome of an earlier attempt is unknown
    bool m_refused = false;
};

[[nodiscard]] std::string_view toString(ExchangeStage stage);

/// @brief Whether an HTTP status proves that the server did not run the call.
///
/// Only client errors that servers return before they start processing count. A 5xx may come from
/// an intermediary, or from a server that failed during processing, and proves nothing.
[[nodiscard]] bool provesRefusal(int httpStatus);

} // namespace vanilladyke
