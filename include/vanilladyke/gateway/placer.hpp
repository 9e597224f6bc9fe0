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

/// @brief A stream placed on an engine, registered with the Placer until destroyed. Not
/// thread-safe.
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

    /// @brief Records that the prefill is complete. Later calls have no effect.
    void recordFirstToken();
    /// @brief Records how many prompt tokens the engine reports as cached.
    void recordCachedTokens(std::uint32_t tokens);

private:
    Placer &m_placer;
    PlacedRequest m_placed;
    bool m_firstTokenSeen = false;
};

/// @brief The engine chosen for an attempt, and when its first token is expected.
struct PlacedAttempt
{
    EngineView engine;
    Duration firstToken{};             ///< predicted, from the start of the attempt
    std::unique_ptr<AttemptWork> work; ///< keep while the stream is at the engine
};

/// @brief Chooses engines for the requests of one node and learns from the results. Thread-safe.
class Placer
{
public:
    Placer(const SharedCacheView &view, Inbox &inbox)
        : m_view(view)
        , m_inbox(inbox)
    {}

    /// @brief Chooses an engine for the next attempt of a request and logs the decision.
    /// @param excluded engines that failed the request, are ejected or full
    /// @return none if no engine is available
    [[nodiscard]] std::optional<PlacedAttempt> placeAttempt(const RequestContext &context,
                                                            const Fleet &fleet,
                                                            const std::vector<EngineId> &excluded,
                                                            Random &random);

    /// @brief The engine that would be chosen now; logs and counts nothing.
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

/// @brief The number of cached prompt tokens given in an answer's frame, if any.
[[nodiscard]] std::optional<std::uint32_t> cachedTokensIn(const std::string &frame);

} // namespace vanilladyke
