#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/policy/engine_pace.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"
#include "vanilladyke/policy/waiting_work.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Values of the choice of a backend server; see backend_book.hpp.
namespace vanilladyke {

/// @brief How choices are weighed. What engines do is learned or read from the configuration; what
/// is given here holds for any engines.
struct BackendRates
{
    double engineTokensPerMs = 2000; ///< tokens that it fetches from another engine
    double keptTokensPerMs = 500;    ///< tokens that it fetches from the kept-cache store
    Millis step{0.4};                ///< each running request slows the others by this
    /// Charge for shared tokens that come to stand in a second engine's memory, where they push out
    /// others that will be read again: so many times the time of reading them.
    double copyReads = 3.4;
    /// Charge for reading a part that no engine has elsewhere than at its home, where nodes look
    /// for it that have not heard of it: so many times the time of reading it.
    double awayReads = 1.35;
    Millis otherCentre{6}; ///< there and back, and a charge for bytes between data centres
    /// Charge for weights that were replaced, as a part of the target. An answer there loses a
    /// fifth of its worth, and one that comes later but still in time loses nothing: a delay counts
    /// half.
    double oldWeightsPart = 0.4;
    /// A request is refused at once where it would wait for so much of its target; see
    /// wait_limit.hpp.
    double mostWaitTargets = 0.5;
    /// What a request is predicted to wait counts so often towards the end of old weights' time.
    double oldWeightsWaits = 1;
    Duration weightsTime = std::chrono::milliseconds(15000); ///< until old weights are closed
    /// In a fleet of more than WholeUpTo servers, how many are weighed for a request.
    std::uint64_t reach =
            12; ///< without an expensive shared part: the first of the node's own order
    std::uint64_t homes = 3; ///< with one: the first of the part's order
    /// A shared part that is read sooner has no home: it takes less than a step of an engine.
    Millis leastHomeReading{3};
    Millis failureCost{1500}; ///< charge for a server that fails everything
    Millis silenceCost{3000}; ///< charge for a server that answers nothing
    /// Charge for one of the few requests that a server with a limit takes, while they are scarce:
    /// left to those that have their prompt's part there. Were nothing ever sent there, nobody
    /// would notice that the limit is over.
    Millis limitedCost{40};
    // Each of these is false only where a mechanism is switched off to measure what it is worth.
    bool homesByBeginning = true;
    bool usesKeptStore = true;
    bool fetchesFromEngines = true;
    bool weighsUrgency = true;
    bool learnsPace = true;
    bool learnsSlowness = true;
    bool countsOthersLoad = true;
    bool believesPlacements = true;
    bool keepsLimits = true;
};

/// @brief What a request needs.
struct BackendQuery
{
    ServiceId service;
    ModelId model;          ///< empty for plain services
    CustomerId isolated;    ///< set if the customer shares cached work with none
    std::string sharedPart; ///< the last part that other requests may share; may be empty
    /// The part by which the home is chosen; empty: sharedPart. Parts that begin alike and differ
    /// in less than half of their tokens have one home, where what they begin with is read once.
    std::string homePart;
    std::uint64_t sharedTokens = 0; ///< up to the end of that part
    std::uint64_t ownTokens = 0;    ///< after it
    /// Within which the first token is worth most.
    Duration target = std::chrono::milliseconds(500);
    int urgency = 5;                     ///< 0 goes first, 9 last
    std::vector<EngineId> exclude;       ///< servers that were tried already
    const KeptCacheView *kept = nullptr; ///< null: there is no kept-cache store
    std::uint64_t memoryTokens = 0;      ///< of an engine; 0: not known

    std::uint64_t leastHomeTokens = 512; ///< fewer have no home

    /// @brief Whether it matters which engine has the shared part.
    [[nodiscard]] bool hasHome() const;
    /// @brief Names the shared part and who shares it; its homes follow from it.
    [[nodiscard]] std::uint64_t partKey() const;
    /// @brief Gives the order of engines in which the part's homes follow.
    [[nodiscard]] std::uint64_t homeKey() const;

private:
    [[nodiscard]] std::uint64_t keyOf(const std::string &part) const;
};

/// @brief Where a request goes and why.
struct BackendChoice
{
    BackendEntry backend;
    std::uint64_t weights = 0;         ///< version on which it will run; 0: none known
    std::uint64_t part = 0;            ///< BackendQuery::partKey; 0: it has no home
    std::uint64_t sharedTokens = 0;    ///< of the prompt, which other requests may share
    bool isHeld = false;               ///< the shared part is believed to be in the engine's memory
    std::optional<Endpoint> fetchFrom; ///< engine or store that may have the shared part
    std::optional<Endpoint> saveTo;    ///< store that lacks the shared part
    std::uint64_t store = 0;           ///< name of the store that it would be fetched from; 0: none
    Millis cost{};                     ///< predicted, with charges
    Millis first{};                    ///< predicted time to the first token
    int urgency = 5;                   ///< of the request
    TimePoint chosenAt;
    Millis waits{};         ///< of it, for what is ahead
    double tokensPerMs = 0; ///< at which the engine is believed to read
    double readTokens = 0;  ///< that the engine reads, if what is believed of it holds
    bool isAlone = false;   ///< nothing is known that waits there: its time shows the engine's pace
    Millis reading{};       ///< of it, reading the prompt
    std::size_t candidates = 0; ///< servers that were weighed
};

/// @brief What one node tells others of a backend server.
struct BackendLoadNews
{
    std::uint64_t backend = 0; ///< hash of its id
    WaitingWork waiting; ///< predicted reading time of the node's requests that have not begun
    int inFlight = 0;    ///< the node's requests there
    Duration loading{};  ///< how much longer it loads new weights
    std::uint64_t weights = 0; ///< version that the node knows of; 0: none
};

/// @brief What one node tells others of a request with an expensive shared part.
struct PlacementNews
{
    std::uint64_t part = 0;    ///< BackendQuery::partKey
    std::uint64_t backend = 0; ///< hash of the server's id
    std::uint64_t weights = 0;
    std::uint64_t saved = 0; ///< KeptCacheView::keyOf what goes to the kept-cache store; 0: nothing
    std::uint64_t written = 0; ///< tokens that come into the engine's memory
    std::uint64_t store = 0;   ///< store that has the shared part; 0: not needed
    std::uint64_t wanted = 0;  ///< tokens that would be fetched there if its link carries them
};

/// @brief Why there is no choice.
struct NoBackend
{
    bool isKnown = false; ///< the service has servers, but none is open
    TimePoint retryAt;    ///< when one may be open again
};

} // namespace vanilladyke
