#include "vanilladyke/policy/exchange_state.hpp"

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace {

constexpr std::array RefusalStatuses{400, 401, 403, 404, 405, 411, 413, 414, 415, 422, 429, 431};

} // namespace

void ExchangeState::apply(ExchangeEvent event)
{
    if (m_stage == ExchangeStage::Answered) {
        return;
    }
    if (event == ExchangeEvent::SendStarted) {
        // An attempt without an outcome may still reach its server while the next one is in
        // progress.
        m_outcomeUnknown = m_outcomeUnknown || m_attemptPending;
        m_attemptPending = true;
        m_stage = ExchangeStage::MayBeSent;
        return;
    }
    if (!m_attemptPending) {
        return;
    }
    switch (event) {
    case ExchangeEvent::ConnectFailed:
        endAttempt(m_refused ? ExchangeStage::Refused : ExchangeStage::NothingSent);
        break;
    case ExchangeEvent::RefusalReceived:
        m_refused = true;
        endAttempt(ExchangeStage::Refused);
        break;
    case ExchangeEvent::AnswerReceived:
        m_attemptPending = false;
        m_stage = ExchangeStage::Answered;
        break;
    case ExchangeEvent::ConnectionLost:
        m_outcomeUnknown = true;
        endAttempt(ExchangeStage::MayBeSent);
        break;
    case ExchangeEvent::SendStarted:
        break;
    }
}

void ExchangeState::endAttempt(ExchangeStage settled)
{
    m_attemptPending = false;
    m_stage = m_outcomeUnknown ? ExchangeStage::MayBeSent : settled;
}

Ran ExchangeState::ran() const
{
    const bool provablyNotRun =
            m_stage == ExchangeStage::NothingSent || m_stage == ExchangeStage::Refused;
    return provablyNotRun ? Ran::No : Ran::Unknown;
}

std::string_view toString(ExchangeStage stage)
{
    switch (stage) {
    case ExchangeStage::NothingSent:
        return "nothing_sent";
    case ExchangeStage::MayBeSent:
        return "may_be_sent";
    case ExchangeStage::Refused:
        return "refused";
    case ExchangeStage::Answered:
        return "answered";
    }
    return "may_be_sent";
}

bool provesRefusal(int httpStatus)
{
    return std::find(RefusalStatuses.begin(), RefusalStatuses.end(), httpStatus)
           != RefusalStatuses.end();
}

} // namespace vanilladyke
