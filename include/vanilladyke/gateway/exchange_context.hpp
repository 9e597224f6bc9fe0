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

/// A caller's request and the filter chain that processes it.
namespace vanilladyke {

class SlotLease;

/// @brief A position in the answer of one request: the engine that generates it and the frames that
/// the caller has received.
struct StreamPosition
{
    EngineId engine;
    Incarnation incarnation{};
    StreamId stream;
    std::uint32_t start = 0;  ///< frames before the stream began, from an earlier engine
    std::uint32_t offset = 0; ///< frames that the caller has received

    bool operator==(const StreamPosition &) const = default;
};

/// @brief The state of one request; each filter reads the fields it needs and fills in its own.
struct RequestContext
{
    // As received.
    RequestId id;
    std::string path;
    std::string bearer; ///< never logged
    std::string deadlineHeader;
    std::string lastEventId; ///< set when a caller resumes a stream
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
    std::string engineBody;  ///< body sent to the engine: always streamed
    std::vector<std::string> messages;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    PrefixChain chain;
    TimePoint firstTokenDeadline;
    std::optional<StreamPosition> resumeAt; ///< decoded from lastEventId
    QueueTicket ticket{};                   ///< id of the request in its model's queue
    Duration predictedFirstToken{};         ///< from the start of an exchange
    std::shared_ptr<SlotLease> slot;        ///< held until the answer has ended
};

/// @brief Whether the request is a chat completion rather than a plain one.
[[nodiscard]] bool isChat(const RequestContext &context);

/// @brief A filter's result: none to continue with the next filter, or a refusal.
using FilterVerdict = std::optional<Refusal>;

/// @brief One step of a FilterChain.
template <typename T>
concept Filter = requires(T &filter, RequestContext &context)
{
    {
        filter(context)
        } -> std::same_as<FilterVerdict>;
};

/// @brief Runs the filters in order and stops at the first refusal.
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
