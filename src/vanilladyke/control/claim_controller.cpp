#include "vanilladyke/control/claim_controller.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

namespace {

std::string_view nameOf(const ClaimVerdict &verdict)
{
    if (std::holds_alternative<SendPermit>(verdict)) {
        return "send";
    }
    const auto *refusal = std::get_if<Refusal>(&verdict);
    return refusal == nullptr ? "answered_before" : toString(refusal->reason);
}

} // namespace

ClaimController::ClaimController(ProcessId process, NodeId node, ClaimIo &io)
    : m_ledger(std::move(process), std::move(node))
    , m_io(io)
{}

void ClaimController::handle(const Event &event, TimePoint now)
{
    const ClockReading at{now, std::chrono::system_clock::now()};
    if (const auto *claims = std::get_if<ClaimEvent>(&event)) {
        std::visit([&](const auto &each) { apply(each, at); }, *claims);
    }
    m_ledger.tick(at);
    deliver();
    if (auto batch = m_ledger.nextBatch(at)) {
        m_io.append(std::move(*batch));
    } else if (const auto when = m_ledger.nextAppendAt()) {
        m_io.wakeAt(*when);
    }
    m_io.setProgress({m_ledger.nextOffset(), m_ledger.needsRead(), m_ledger.idle()});
}

void ClaimController::contribute(Fleet &fleet, TimePoint /*now*/)
{
    if (fleet.bundle) {
        m_ledger.configure(fleet.bundle->limits.claimWindow, fleet.liveNodes);
        m_io.startReading(fleet.bundle->limits.claimWindow);
    }
}

void ClaimController::apply(const ClaimRequested &requested, ClockReading at)
{
    m_requests.emplace(requested.request.ticket, requested);
    m_ledger.submit(requested.request, at);
}

void ClaimController::apply(const ClaimSettled &settled, ClockReading /*at*/)
{
    m_ledger.settle(settled.record);
}

void ClaimController::apply(const ClaimsAppended &appended, ClockReading at)
{
    m_ledger.appended(appended.result, appended.offset, at);
}

void ClaimController::apply(const ClaimsRead &read, ClockReading at)
{
    m_ledger.read(read.page, at);
    m_io.pageProcessed();
}

void ClaimController::deliver()
{
    for (ClaimDecision &decision : m_ledger.takeDecisions()) {
        const auto requested = m_requests.find(decision.ticket);
        if (requested == m_requests.end()) {
            continue;
        }
        const ClaimKey key = requested->second.request.key;
        LogEvent("claim")
                .field("customer", key.customer.str())
                .field("service", key.service.str())
                .field("verdict", nameOf(decision.verdict));
        const auto *permit = std::get_if<SendPermit>(&decision.verdict);
        const ClaimNonce nonce = permit == nullptr ? ClaimNonce() : permit->nonce;
        const bool delivered = requested->second.wait->deliver(std::move(decision.verdict));
        if (!delivered && nonce.sequence != 0) {
            m_ledger.settle(ClaimRelease{key, nonce});
        }
        m_requests.erase(requested);
    }
}

} // namespace vanilladyke
