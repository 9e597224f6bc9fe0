#pragma once

#include "vanilladyke/policy/claim_ledger.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace vanilladyke {

/// @brief Passes the verdict on one call from the control thread to the waiting traffic thread.
class ClaimWait
{
public:
    /// @brief Delivers the verdict. @return false if the wait has already timed out
    [[nodiscard]] bool deliver(ClaimVerdict verdict);
    /// @brief Waits for the verdict. After it has returned none, deliver() returns false.
    [[nodiscard]] std::optional<ClaimVerdict> wait(TimePoint until);

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::optional<ClaimVerdict> m_verdict;
    bool m_abandoned = false;
};

/// @brief A traffic thread requests a permit for a call that must not be repeated.
struct ClaimRequested
{
    ClaimRequest request;
    std::shared_ptr<ClaimWait> wait;
};

/// @brief A traffic thread reports the outcome of a call, or releases its claim.
struct ClaimSettled
{
    ClaimRecord record;
};

/// @brief An append to the log has ended.
struct ClaimsAppended
{
    AppendResult result = AppendResult::InDoubt;
    std::uint64_t offset = 0;
};

/// @brief A page of the log was read.
struct ClaimsRead
{
    ClaimPage page;
};

/// @brief Events for the claim controller; the inbox never drops them.
using ClaimEvent = std::variant<ClaimRequested, ClaimSettled, ClaimsAppended, ClaimsRead>;

} // namespace vanilladyke
