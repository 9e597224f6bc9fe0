#pragma once

#include "vanilladyke/policy/claim_ledger.hpp"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace vanilladyke {

/// @brief Where a traffic thread waits for the control thread's verdict on its call.
class ClaimWait
{
public:
    /// @brief Hands the verdict over. @return false if nobody waits any more
    [[nodiscard]] bool deliver(ClaimVerdict verdict);
    /// @brief Waits for the verdict. Once this has returned none, none is delivered any more.
    [[nodiscard]] std::optional<ClaimVerdict> wait(TimePoint until);

private:
    std::mutex m_mutex;
    std::condition_variable m_filled;
    std::optional<ClaimVerdict> m_verdict;
    bool m_abandoned = false;
};

/// @brief A traffic thread asks to send a call that may not be repeated.
struct ClaimAsked
{
    ClaimRequest request;
    std::shared_ptr<ClaimWait> wait;
};

/// @brief A traffic thread tells what came of a call that it was allowed to send.
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

/// @brief A read of the log has brought a page.
struct ClaimsRead
{
    ClaimPage page;
};

/// @brief What the claim controller hears besides bundles and ticks. None of it may be dropped.
using ClaimEvent = std::variant<ClaimAsked, ClaimSettled, ClaimsAppended, ClaimsRead>;

} // namespace vanilladyke
