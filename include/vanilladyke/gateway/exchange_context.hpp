#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/fleet.hpp"
#include "vanilladyke/model/prefix_chain.hpp"
#include "vanilladyke/model/refusal.hpp"
#include "vanilladyke/policy/fair_queue.hpp"

#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

/// A caller's request on its way through the filter chain.
namespace vanilladyke {

class SlotLease;

/// @brief A place in the answer of one request: which engine makes it, and how far the caller is.
struct StreamPosition
{
    EngineId engine;
    Incarnation incarnation{};
    StreamId stream;
    std::uint32_t start = 0;  ///< frames before the stream began, made by an earlier engine
    std::uint32_t offset = 0; ///< frames that the caller has

    bool operator==(const StreamPosition &) const = default;
};

/// @brief All that is known of one request; each filter reads what it needs and adds its part.
struct RequestContext
{
    // As it came in.
    RequestId id;
    std::string path;
    std::string bearer; ///< never logged
    std::string deadlineHeader;
    std::string lastEventId; ///< of a caller that comes back for the rest of a stream
    std::string body;
    TimePoint arrivedAt;
    std::shared_ptr<const Fleet> fleet;

    // Added by the filters.
    CustomerId customer;
    ModelId model;
    WeightsVersion weights;
    Priority priority = Priority::Normal;
    bool streamed = false;
    bool wantsUsage = false; ///< the caller asked for the usage frame of a stream
    std::string engineBody;  ///< what the engine gets: always streamed
    std::vector<std::string> messages;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    PrefixChain chain;
    TimePoint firstTokenDeadline;
    std::optional<StreamPosition> resumeAt; ///< where lastEventId says
    QueueTicket ticket{};                   ///< names the request in its model's queue
    Duration predictedFirstToken{};         ///< from the start of an exchange
    std::shared_ptr<SlotLease> slot;        ///< held until the answer has ended
};

/// @brief Whether the request is a chat completion, not a plain one.
[[nodiscard]] bool isChat(const RequestContext &context);

/// @brief What a filter says: none to pass the request on, a refusal to end it.
using FilterVerdict = std::optional<Refusal>;

/// @brief One step of the chain.
template <typename T>
concept Filter = requires(T &filter, RequestContext &context)
{
    {
        filter(context)
        } -> std::same_as<FilterVerdict>;
};

/// @brief The filters in order; the first refusal ends the request.
template <Filter... Filters>
class FilterChain
{
public:
    explicit FilterChain(Filters... filters)
        : m_filters(std::move(filters)...)
    {}

    [[nodiscard]] FilterVerdict operator()(RequestContext &context)
    {
        FilterVerdict verdict;
        std::apply(
                [&](auto &...each) {
                    static_cast<void>(((verdict = each(context), verdict.has_value()) || ...));
                },
                m_filters);
        return verdict;
    }

private:
    std::tuple<Filters...> m_filters;
};

} // namespace vanilladyke
