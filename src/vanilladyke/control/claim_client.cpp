#include "vanilladyke/control/claim_client.hpp"

namespace vanilladyke {

namespace {

/// Extra wait beyond the deadline, at which the ledger refuses; if it passes, the control thread
/// itself is blocked.
constexpr Duration VerdictGrace = std::chrono::seconds(1);

} // namespace

ClaimPermit::ClaimPermit(Inbox &inbox, ClaimKey key, ClaimNonce nonce)
    : m_inbox(&inbox)
    , m_key(std::move(key))
    , m_nonce(std::move(nonce))
{}

ClaimPermit::ClaimPermit(ClaimPermit &&other) noexcept
    : m_inbox(std::exchange(other.m_inbox, nullptr))
    , m_key(std::move(other.m_key))
    , m_nonce(std::move(other.m_nonce))
{}

ClaimPermit::~ClaimPermit()
{
    settle(ClaimOutcome{m_key, m_nonce, OutcomeKind::Unknown, 0, {}, {}});
}

void ClaimPermit::recordAnswer(std::uint32_t status, const std::string &contentType,
                               const std::string &body)
{
    const bool fits = body.size() <= MostAnswerBytes;
    settle(ClaimOutcome{m_key, m_nonce, fits ? OutcomeKind::Answered : OutcomeKind::AnswerTooLarge,
                        status, contentType, fits ? body : std::string()});
}

void ClaimPermit::release()
{
    settle(ClaimRelease{m_key, m_nonce});
}

void ClaimPermit::settle(ClaimRecord record)
{
    if (Inbox *inbox = std::exchange(m_inbox, nullptr)) {
        inbox->post(ClaimEvent(ClaimSettled{std::move(record)}));
    }
}

ClaimAnswer ClaimClient::requestPermit(ClaimRequest request)
{
    request.ticket = ClaimTicket{++m_tickets};
    auto wait = std::make_shared<ClaimWait>();
    m_inbox.post(ClaimEvent(ClaimRequested{request, wait}));
    std::optional<ClaimVerdict> verdict = wait->wait(request.deadline + VerdictGrace);
    if (!verdict) {
        // A verdict that comes later can't be delivered, and the controller releases the claim.
        return Refusal{RefusalReason::LogUnavailable,
                       "the claim was not decided in time",
                       ranOfUnsent(request),
                       {}};
    }
    if (const auto *permit = std::get_if<SendPermit>(&*verdict)) {
        return ClaimPermit(m_inbox, request.key, permit->nonce);
    }
    if (auto *outcome = std::get_if<ClaimOutcome>(&*verdict)) {
        return std::move(*outcome);
    }
    return std::get<Refusal>(std::move(*verdict));
}

} // namespace vanilladyke
