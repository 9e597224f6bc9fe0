#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/node/record_store.hpp"
#include "vanilladyke/node/store_calls.hpp"
#include "vanilladyke/policy/back_off.hpp"
#include "vanilladyke/policy/store_era.hpp"

/// What the followers of the store's topics have in common: the store, the recipients of what was
/// read, and the pauses between calls.
namespace vanilladyke {

/// @brief Time limits within which changes in the store have to take effect on this node.
struct FollowLimits
{
    Duration drain = std::chrono::milliseconds(2000); ///< removal of a draining server
    Duration apply = std::chrono::milliseconds(2000); ///< a change of the configuration
    bool sharesStoreReads = true; ///< whether to ask a node that reads the store for others
};

/// @brief A fraction of a time span.
[[nodiscard]] Duration fractionOf(Duration span, double fraction);

/// @brief Shared by all followers of one node. Runs on the control thread.
struct FollowContext
{
    /// Back-off after failed calls: a lost answer must not use up the time within which a change
    /// has to take effect, and a store that is down must not be flooded.
    static constexpr BackOffIntervals RetryIntervals{std::chrono::milliseconds(60),
                                                     std::chrono::milliseconds(500)};

    /// @brief Completes after @p span.
    [[nodiscard]] asio::awaitable<void> pause(Duration span);
    /// @brief Completes after @p span, or soon after the store's era has changed from @p known.
    [[nodiscard]] asio::awaitable<void> pauseInEra(Duration span, std::uint64_t known);
    /// @brief Reports a failed call to the listener and completes when the next one may be made.
    [[nodiscard]] asio::awaitable<void> failed(BackOff &backOff);

    asio::io_context &io;
    RecordStore &store;
    const StateTranslator &translator;
    StateListener &listener;
    StoreCalls &calls;
    StoreEra &era; ///< the newest one known
    FollowLimits limits;
    Random random;
    bool isStopped = false; ///< followers end before their next call
};

} // namespace vanilladyke
