#include "vanilladyke/policy/further_try.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Doubles with each send, up to 2.6 s before the last one.
constexpr Duration FirstStreamPause = std::chrono::milliseconds(20);

/// Why a request that may have run may not run on a further server; none if it may.
std::optional<FurtherTryDenial> denyFurtherRun(const FurtherTryState &state)
{
    if (!state.isRepeatable) {
        return FurtherTryDenial::NotRepeatable;
    }
    const bool isAllowed = state.hasPartialAnswer ? state.resumesStreams : state.retriesRequests;
    if (!isAllowed) {
        return FurtherTryDenial::SwitchedOff;
    }
    if (state.hasPartialAnswer && !state.hasEventId) {
        return FurtherTryDenial::NoEventId;
    }
    if (state.hasPartialAnswer && state.isOriginUnknown) {
        return FurtherTryDenial::UnknownOrigin;
    }
    const bool mayReturn = state.hasPartialAnswer && state.canReturn;
    if (state.mayHaveRun >= state.maxServers && !mayReturn) {
        return FurtherTryDenial::Servers;
    }
    return std::nullopt;
}

} // namespace

std::optional<FurtherTryDenial> denyFurtherTry(const FurtherTryState &state, TimePoint now)
{
    if (state.isCallerGone) {
        return FurtherTryDenial::CallerGone;
    }
    if (state.isAnswered) {
        return FurtherTryDenial::Answered;
    }
    if (state.deadline - now < MinTimeForTry) {
        return FurtherTryDenial::Deadline;
    }
    if (state.isQuarantined) {
        return FurtherTryDenial::Quarantined;
    }
    if (state.connectFailures >= MaxConnectFailures) {
        return FurtherTryDenial::ConnectFailures;
    }
    if (state.sends >= (state.hasPartialAnswer ? MaxStreamSends : MaxSends)) {
        return FurtherTryDenial::Sends;
    }
    if (state.isBudgetSpent) {
        return FurtherTryDenial::BudgetSpent;
    }
    return state.mayHaveRun == 0 ? std::nullopt : denyFurtherRun(state);
}

Duration pauseBeforeSend(int sends)
{
    const int paced = std::min(sends, MaxStreamSends) - MaxSends;
    return paced < 0 ? Duration::zero() : FirstStreamPause * (1 << paced);
}

std::string_view toString(FurtherTryDenial denial)
{
    switch (denial) {
    case FurtherTryDenial::CallerGone:
        return "caller_gone";
    case FurtherTryDenial::Deadline:
        return "deadline";
    case FurtherTryDenial::Quarantined:
        return "quarantined";
    case FurtherTryDenial::ConnectFailures:
        return "connect_failures";
    case FurtherTryDenial::Sends:
        return "sends";
    case FurtherTryDenial::BudgetSpent:
        return "budget";
    case FurtherTryDenial::NotRepeatable:
        return "not_repeatable";
    case FurtherTryDenial::SwitchedOff:
        return "switched_off";
    case FurtherTryDenial::NoEventId:
        return "no_event_id";
    case FurtherTryDenial::UnknownOrigin:
        return "unknown_origin";
    case FurtherTryDenial::Servers:
        return "servers";
    case FurtherTryDenial::Answered:
        return "answered";
    }
    return "unknown";
}

} // namespace vanilladyke
