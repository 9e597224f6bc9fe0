#pragma once

#include "vanilladyke/control/claim_io.hpp"
#include "vanilladyke/control/events.hpp"

#include <map>
#include <memory>

namespace vanilladyke {

/// @brief Runs the claim ledger on the control thread: passes requests of traffic threads and pages
/// of the log to it, and its verdicts and appends back.
class ClaimController
{
public:
    ClaimController(ProcessId process, NodeId node, ClaimIo &io);

    void handle(const Event &event, TimePoint now);
    /// @brief Configures the ledger with the claim window and the number of live nodes. Must run
    /// after the bundle and membership controllers, which write both.
    void contribute(Fleet &fleet, TimePoint now);

private:
    void apply(const ClaimRequested &requested, ClockReading at);
    void apply(const ClaimSettled &settled, ClockReading at);
    void apply(const ClaimsAppended &appended, ClockReading at);
    void apply(const ClaimsRead &read, ClockReading at);
    void deliver();

    ClaimLedger m_ledger;
    ClaimIo &m_io;
    std::map<ClaimTicket, ClaimRequested> m_requests;
};

} // namespace vanilladyke
