#include "vanilladyke/policy/exchange_state.hpp"

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace {

constexpr std::array StatusesOfRefusal{400, 401, 403, 404, 405, 411, 413, 414, 415, 422, 429, 431};

} // namespace

void ExchangeState::apply(ExchangeEvent event)
{
    if (m_stage == ExchangeStage::Answered) {
        return;
    }
    if (event == ExchangeEvent::SendStarted) {
        // A try that was never settled may still reach its server while the next one is under way.
        m_doubt = m_doubt || m_trying;
        m_trying = true;
        m_stage = ExchangeStage::MayBeSent;
        return;
    }
    if (!m_trying) {
        return;
    }
    switch (event) {
    case ExchangeEvent::ConnectFailed:
        endTry(m_refused ? ExchangeStage::Refused : ExchangeStage::NothingSent);
        break;
    case ExchangeEvent::RefusalReceived:
        m_refused = true;
        endTry(ExchangeStage::Refused);
        break;
    case ExchangeEvent::AnswerReceived:
        m_trying = false;
        m_stage = ExchangeStage::Answered;
        break;
    case ExchangeEvent::ConnectionLost:
        m_doubt = true;
        endTry(ExchangeStage::MayBeSent);
        break;
    case ExchangeEvent::SendStarted:
        break;
    }
}

void ExchangeState::endTry(ExchangeStage settled)
{
    m_trying = false;
    m_stage = m_doubt ? ExchangeStage::MayBeSent : settled;
}

Ran ExchangeState::ran() const
{
    const bool clear = m_stage == ExchangeStage::NothingSent || m_stage == ExchangeStage::Refused;
    return clear ? Ran::No : Ran::Unknown;
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
    return std::find(StatusesOfRefusal.begin(), StatusesOfRefusal.end(), httpStatus)
           != StatusesOfRefusal.end();
}

} // namespace vanilladyke
