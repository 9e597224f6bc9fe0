#pragma once

#include "vanilladyke/model/refusal.hpp"

/// What is known of one call's exchange with backend servers, and so whether it may have run.
///
/// Every refusal takes its `ran` from here. A call may be tried several times, one after another;
/// one try in doubt leaves the whole call in doubt, whatever the later tries say.
namespace vanilladyke {

/// @brief How far the call has come.
enum class ExchangeStage {
    NothingSent, ///< no byte of the call has left this node
    MayBeSent,   ///< some server may have the call, or a part of it
    Refused,     ///< each server that may have had it refused it provably
    Answered,    ///< a server has begun to answer
};

/// @brief What happens in an exchange.
enum class ExchangeEvent {
    SendStarted,     ///< connecting; from now on bytes may leave at any moment
    ConnectFailed,   ///< no connection came about, so no byte left
    RefusalReceived, ///< the server said that it did not run the call
    AnswerReceived,  ///< the answer has begun
    ConnectionLost,  ///< reset, cut, silent or an answer that is not ours
};

/// @brief The exchange of one call, over all its tries.
class ExchangeState
{
public:
    /// @brief Takes in an event. One that can't follow the present stage changes nothing.
    void apply(ExchangeEvent event);

    [[nodiscard]] ExchangeStage stage() const { return m_stage; }
    /// @brief No only if nothing was sent, or all that got something refused provably.
    [[nodiscard]] Ran ran() const;

private:
    void endTry(ExchangeStage settled);

    ExchangeStage m_stage = ExchangeStage::NothingSent;
    bool m_trying = false; ///< a try is under way and not yet answered
    bool m_doubt = false;  ///< an earlier try was lost with its outcome unknown
    bool m_refused = false;
};

[[nodiscard]] std::string_view toString(ExchangeStage stage);

/// @brief Whether an HTTP status proves that the server did not run the call.
///
/// Only the client errors that servers give before they begin. A 5xx may come from something in
/// between, or from a server that failed half way, and proves nothing.
[[nodiscard]] bool provesRefusal(int httpStatus);

} // namespace vanilladyke
