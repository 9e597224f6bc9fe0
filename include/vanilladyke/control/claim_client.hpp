#pragma once

#include "vanilladyke/control/claim_events.hpp"
#include "vanilladyke/control/inbox.hpp"

#include <atomic>

/// The interface of claims for traffic threads: request a permit, wait for it, send the call,
/// record its outcome.
namespace vanilladyke {

/// @brief Permission to send one call once. The destructor settles it if nothing else did.
class ClaimPermit
{
public:
    ClaimPermit(Inbox &inbox, ClaimKey key, ClaimNonce nonce);
    ClaimPermit(const ClaimPermit &) = delete;
    ClaimPermit &operator=(const ClaimPermit &) = delete;
    ClaimPermit(ClaimPermit &&other) noexcept;
    ClaimPermit &operator=(ClaimPermit &&) = delete;
    /// @brief Records the outcome "unknown" if none was recorded: the call may have been sent.
    ~ClaimPermit();

    /// @brief Records the answer of the call; of a too large one only that it was too large.
    void recordAnswer(std::uint32_t status, const std::string &contentType,
                      const std::string &body);
    /// @brief Frees the key: the call was not sent and will not be.
    void release();

private:
    void settle(ClaimRecord record);

    Inbox *m_inbox;
    ClaimKey m_key;
    ClaimNonce m_nonce;
};

/// @brief A permit, the outcome of an earlier call with the key, or a refusal.
using ClaimAnswer = std::variant<ClaimPermit, ClaimOutcome, Refusal>;

/// @brief Passes claims from traffic threads to the control thread. Thread-safe.
class ClaimClient
{
public:
    explicit ClaimClient(Inbox &inbox)
        : m_inbox(inbox)
    {}

    /// @brief Blocks until the call may be sent, has an earlier outcome, or is refused.
    /// @param request its ticket is assigned here
    [[nodiscard]] ClaimAnswer requestPermit(ClaimRequest request);

private:
    Inbox &m_inbox;
    std::atomic<std::uint64_t> m_tickets{0};
};

} // namespace vanilladyke
