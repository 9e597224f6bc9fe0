#include "vanilladyke/node/fleet_key.hpp"

#include <sodium.h>

namespace vanilladyke {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(900);
/// Hundreds of nodes start at the same time. With starts spread over this span nearly all of them
/// find the key that the first one wrote; otherwise each would list, append and list again.
constexpr Duration StartSpread = std::chrono::milliseconds(400);
constexpr const char *RecordKey = "key";

} // namespace

asio::awaitable<std::optional<std::string>> findFleetKey(FollowContext &context, std::string known)
{
    // The first node writes the key; the append of any later node is refused.
    co_await context.pause(spanOfSeconds(secondsOf(StartSpread) * uniform(context.random)));
    while (!context.isStopped) {
        context.calls.count(StoreCall::List, StoreTopic::FleetKey, CallCause::Start);
        const auto newest = co_await context.store.newest(StateTopic::FleetKey);
        if (newest && !newest->items.empty()) {
            co_return newest->items.front().value;
        }
        if (newest && newest->end == 0) {
            std::string key = known;
            if (key.empty()) {
                key.assign(crypto_generichash_KEYBYTES, '\0');
                randombytes_buf(key.data(), key.size());
            }
            context.calls.count(StoreCall::Append, StoreTopic::FleetKey, CallCause::Start);
            KeyedRecord record{RecordKey, key};
            const auto appended =
                    co_await context.store.append(StateTopic::FleetKey, std::move(record), 0);
            if (appended && appended->isAccepted) {
                co_return std::move(key);
            }
            continue;
        }
        co_await context.pause(RetryDelay);
    }
    co_return std::nullopt;
}

} // namespace vanilladyke
