#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/control/inbox.hpp"
#include "vanilladyke/control/shared_cache_view.hpp"
#include "vanilladyke/gateway/exchange_context.hpp"
#include "vanilladyke/policy/placement_policy.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace vanilladyke {

class Placer;

/// @brief A stream that was given to an engine, as long as it is there. For one thread at a time.
class AttemptWork
{
public:
    AttemptWork(Placer &placer, PlacedRequest placed)
        : m_placer(placer)
        , m_placed(std::move(placed))
    {}
    AttemptWork(const AttemptWork &) = delete;
    AttemptWork &operator=(const AttemptWork &) = delete;
    ~AttemptWork();

    /// @brief The prompt has been computed. Later calls change nothing.
    void firstTokenCame();
    /// @brief The engine told how many prompt tokens came from its cache.
    void cachedTokensTold(std::uint32_t tokens);

private:
    Placer &m_placer;
    PlacedRequest m_placed;
    bool m_firstTokenCame = false;
};

/// @brief Where an attempt goes, and when its first token is expected.
struct PlacedAttempt
{
    EngineView engine;
    Duration firstToken{};             ///< predicted, from the start of the attempt
    std::unique_ptr<AttemptWork> work; ///< to be kept while the stream is at the engine
};

/// @brief Places the requests of one node, and learns from how they went. Any thread.
class Placer
{
public:
    Placer(const SharedCacheView &view, Inbox &inbox)
        : m_view(view)
        , m_inbox(inbox)
    {}

    /// @brief Chooses an engine for the next attempt of a request and logs the decision.
    /// @param excluded engines that must not get it: they failed it, are ejected or full
    /// @return none if no engine may take it now
    [[nodiscard]] std::optional<PlacedAttempt> placeAttempt(const RequestContext &context,
                                                            const Fleet &fleet,
                                                            const std::vector<EngineId> &excluded,
                                                            Random &random);

    /// @brief The engine that would be chosen now; nothing is logged or counted.
    [[nodiscard]] std::optional<Candidate> forecast(const RequestContext &context,
                                                    const Fleet &fleet,
                                                    const std::vector<EngineId> &excluded,
                                                    Random &random) const;

private:
    friend class AttemptWork;

    const SharedCacheView &m_view;
    Inbox &m_inbox;
    mutable std::mutex m_mutex;
    PlacementPolicy m_policy;
};

/// @brief The cached prompt tokens that an answer's frame tells, if it tells them.
[[nodiscard]] std::optional<std::uint32_t> cachedTokensIn(const std::string &frame);

} // namespace vanilladyke
