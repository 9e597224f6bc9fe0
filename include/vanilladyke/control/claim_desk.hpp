#pragma once

#include "vanilladyke/control/claim_events.hpp"
#include "vanilladyke/control/inbox.hpp"

#include <atomic>

/// What traffic threads see of claims: they ask, wait, send, and tell what came of it.
namespace vanilladyke {

/// @brief The right to send one call once. It is settled when it ends, if not before.
class ClaimPermit
{
public:
    ClaimPermit(Inbox &inbox, ClaimKey key, ClaimNonce nonce);
    ClaimPermit(const ClaimPermit &) = delete;
    ClaimPermit &operator=(const ClaimPermit &) = delete;
    ClaimPermit(ClaimPermit &&other) noexcept;
    ClaimPermit &operator=(ClaimPermit &&) = delete;
    /// @brief Records "unknown" if nothing else was told: the call may have been sent.
    ~ClaimPermit();

    /// @brief The call was answered. An answer that is too large is noted, but not kept.
    void answered(std::uint32_t status, const std::string &contentType, const std::string &body);
    /// @brief Nothing was sent and nothing will be; the key is free again.
    void release();

private:
    void settle(ClaimRecord record);

    Inbox *m_inbox;
    ClaimKey m_key;
    ClaimNonce m_nonce;
};

/// @brief A permit, the answer of an earlier call, or a refusal.
using ClaimAnswer = std::variant<ClaimPermit, ClaimOutcome, Refusal>;

/// @brief Takes claims from traffic threads to the control thread. For any thread.
class ClaimDesk
{
public:
    explicit ClaimDesk(Inbox &inbox)
        : m_inbox(inbox)
    {}

    /// @brief Waits until the call may be sent, has an answer, or is refused.
    /// @param request its ticket is chosen here
    [[nodiscard]] ClaimAnswer ask(ClaimRequest request);

private:
    Inbox &m_inbox;
    std::atomic<std::uint64_t> m_tickets{0};
};

} // namespace vanilladyke
