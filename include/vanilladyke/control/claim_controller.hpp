#pragma once

#include "vanilladyke/control/claim_io.hpp"
#include "vanilladyke/control/events.hpp"

#include <map>
#include <memory>

namespace vanilladyke {

/// @brief Runs the claim ledger on the control thread, between traffic threads and the log.
class ClaimController
{
public:
    ClaimController(ProcessId process, NodeId node, ClaimIo &io);

    void handle(const Event &event, TimePoint now);
    /// @brief Reads window and live nodes; for that it stands behind bundles and membership.
    void contribute(Fleet &fleet, TimePoint now);

private:
    void take(const ClaimAsked &asked, ClockReading at);
    void take(const ClaimSettled &settled, ClockReading at);
    void take(const ClaimsAppended &appended, ClockReading at);
    void take(const ClaimsRead &read, ClockReading at);
    void deliver();

    ClaimLedger m_ledger;
    ClaimIo &m_io;
    std::map<ClaimTicket, ClaimAsked> m_asked;
};

} // namespace vanilladyke
