#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/routing.hpp"
#include "vanilladyke/policy/kept_cache_view.hpp"
#include "vanilladyke/policy/route_table.hpp"

#include "vanilladyke/base/outcome.hpp"
#include <cstdint>
#include <memory>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Where a request goes: the backend server with the least predicted time to its first token.
///
/// Load patterns, and what answers each:
/// - Long prompts share parts that cost an engine a tenth of a second to read. Each shared part has
///   a home, the first engine of its rendezvous order, which all nodes compute alike; a request
///   leaves it only when waiting there costs more than fetching or reading elsewhere.
/// - Short requests behind long ones: the prompt tokens that wait at an engine count as waiting.
/// - Many nodes with a part of the load each: what others tell of theirs counts as this node's own;
///   what an engine reports beyond that counts until the report is ReportLife old.
/// - An engine that answers nothing while requests wait there is avoided after SilenceToAvoid; one
///   that fails a part of its requests is charged FailureCost for the part.
/// - New weights: engines on older ones are charged BackendRates::oldWeightsMs, the part of a
/// request's worth
///   that is lost there, and are closed when the platform's time for them is over.
namespace vanilladyke {

/// @brief Figures that depend on the deployment's engines.
struct BackendRates
{
    double tokensPerMs = 112;        ///< prompt tokens that an engine reads
    double engineTokensPerMs = 2000; ///< tokens that it fetches from another engine
    double keptTokensPerMs = 500;    ///< tokens that it fetches from the kept-cache store
    double stepMs = 0.4;             ///< each running request slows the others by this
    /// Charge for shared tokens that another engine has, beyond the time that they take: reading
    /// them takes from all others.
    double rereadMsPerToken = 0.05;
    /// Charge for shared tokens that come to stand in a second engine's memory: they push out
    /// others.
    double copyMsPerToken = 0.03;
    double otherCentreMs = 6;  ///< there and back, and a charge for bytes between data centres
    double oldWeightsMs = 120; ///< charge for weights that were replaced
    Duration weightsTime = std::chrono::milliseconds(15000); ///< until old weights are closed
};

/// @brief What a request needs.
struct BackendQuery
{
    ServiceId service;
    ModelId model;                  ///< empty for plain services
    CustomerId isolated;            ///< set if the customer shares cached work with none
    std::string sharedPart;         ///< the last part that other requests may share; may be empty
    std::uint64_t sharedTokens = 0; ///< up to the end of that part
    std::uint64_t ownTokens = 0;    ///< after it
    std::vector<EngineId> exclude;  ///< servers that were tried already
    const KeptCacheView *kept = nullptr; ///< null: there is no kept-cache store
    std::optional<Endpoint> keptCache;   ///< where it is

    /// @brief Names the shared part and who shares it; its homes follow from it.
    [[nodiscard]] std::string homeKey() const;
};

/// @brief Where a request goes and why.
struct BackendChoice
{
    BackendEntry backend;
    std::uint64_t weights = 0;         ///< version on which it will run; 0: none known
    bool isHeld = false;               ///< the shared part is believed to be in the engine's memory
    std::optional<Endpoint> fetchFrom; ///< engine or store that is believed to have the shared part
    bool savesShared = false;          ///< the kept-cache store lacks the shared part
    double costMs = 0;                 ///< predicted, with charges
    double readMs = 0;                 ///< of it, reading the prompt
    std::size_t candidates = 0;
};

/// @brief What one node tells others of a backend server.
struct BackendLoadNews
{
    std::uint64_t backend = 0; ///< hash of its id
    double waitingMs = 0; ///< predicted reading time of the node's requests that have not begun
    int inFlight = 0;     ///< the node's requests there
    Duration loading{};   ///< how much longer it loads new weights
    std::uint64_t weights = 0; ///< version that the node knows of; 0: none
};

/// @brief Why there is no choice.
struct NoBackend
{
    bool isKnown = false; ///< the service has servers, but none is open
    TimePoint retryAt;    ///< when one may be open again
};

/// @brief What one node knows of the backend servers from its own traffic. Pure.
class BackendBook
{
public:
    static constexpr Duration ReportLife = std::chrono::milliseconds(1000);
    /// A node that has just started reads the list of servers within some tens of milliseconds.
    static constexpr Duration UnknownPause = std::chrono::milliseconds(25);
    static constexpr Duration PeerLife = std::chrono::seconds(2);
    static constexpr Duration SilenceToAvoid = std::chrono::milliseconds(450);
    /// How long an engine keeps a part that was just used: usually, and even when it is crowded.
    static constexpr Duration HeldFor = std::chrono::seconds(8);
    static constexpr Duration SurelyHeldFor = std::chrono::seconds(2);
    static constexpr Duration FailureHalfLife = std::chrono::seconds(3);
    static constexpr Duration FirstClose = std::chrono::milliseconds(250);
    static constexpr Duration LongestClose = std::chrono::seconds(2);
    static constexpr double FailureCost = 1500; ///< ms, for a server that fails everything
    static constexpr double SilenceCost = 3000; ///< ms
    static constexpr Duration OldWeightsGrace = std::chrono::milliseconds(1000);
    static constexpr Duration OldWeightsMargin = std::chrono::milliseconds(2000);

    BackendBook(DataCentreId here, BackendRates rates);

    /// @brief Takes over the servers that may get requests.
    void setBackends(const std::vector<BackendEntry> &serving);
    /// @brief Replaces the rates of transfers that the configuration tells.
    void setTransferRates(const TransferRates &rates);
    /// @brief New weights were named. @param since when this node learned of them
    void setGoal(const ModelId &model, std::uint64_t version, TimePoint since);

    [[nodiscard]] tl::expected<BackendChoice, NoBackend> choose(const BackendQuery &query,
                                                                TimePoint now) const;
    /// @brief The request goes out to the chosen server.
    void sent(const BackendChoice &choice, const BackendQuery &query, TimePoint now);
    /// @brief The server began to answer: the prompt is read.
    void began(const BackendChoice &choice, TimePoint now);
    /// @brief The exchange is over. @param failed the server's fault
    void ended(const BackendChoice &choice, bool hadBegun, bool failed, TimePoint now);
    /// @brief No connection, or the server sheds: nothing goes there for a while.
    void close(const EngineId &id, TimePoint now);
    void reported(const EngineId &id, int running, int waiting, TimePoint now);
    /// @brief An answer showed the version of the server's weights.
    void sawWeights(const EngineId &id, const ModelId &model, std::uint64_t version);
    /// @brief The server refused the version that was believed to be there.
    void doubtWeights(const EngineId &id, const ModelId &model, TimePoint now);
    /// @brief The engine loads new weights until then.
    void loading(const EngineId &id, TimePoint until);
    /// @brief What this node has to tell of servers, the busiest first.
    [[nodiscard]] std::vector<BackendLoadNews> ownLoad(std::size_t most, TimePoint now) const;
    /// @brief Another node's news; they replace its former ones.
    void heardLoad(std::uint64_t node, const std::vector<BackendLoadNews> &news, TimePoint now);
    /// @brief Drops the load of nodes that were not heard of for PeerLife.
    void forgetSilentPeers(TimePoint now);
    /// @brief The name under which nodes tell each other of the server.
    [[nodiscard]] static std::uint64_t hashOf(const EngineId &id);
    [[nodiscard]] int inFlight(const EngineId &id) const;
    [[nodiscard]] std::size_t size() const { return m_states.size(); }
    [[nodiscard]] bool knows(const EngineId &id) const { return m_states.contains(id); }

private:
    struct State
    {
        BackendEntry entry;
        std::uint64_t hash = 0;
        int inFlight = 0;
        int unanswered = 0;
        double waitingMs = 0;  ///< predicted reading time of own requests that have not begun
        TimePoint silentSince; ///< when the oldest wait without any answer began
        int running = 0;
        int waiting = 0;
        int ownAtReport = 0;
        TimePoint reportedAt;
        double peersWaitingMs = 0;
        int peersInFlight = 0;
        TimePoint loadingUntil;
        double failurePart = 0;
        TimePoint failureAt;
        TimePoint closedUntil;
        Duration lastClose{};
        std::unordered_map<std::string, TimePoint> held;
    };
    /// Weights that were named for a model, oldest first. Each closes what is older than itself
    /// when its own time is over, however many were named after it.
    /// What another node has at a server.
    struct PeerPart
    {
        EngineId engine;
        double waitingMs = 0;
        int inFlight = 0;
    };
    struct Peer
    {
        TimePoint heardAt;
        std::vector<PeerPart> parts;
    };
    struct Goal
    {
        std::uint64_t version = 0;
        TimePoint since;
    };
    using Goals = std::vector<Goal>;

    [[nodiscard]] double waitOf(const State &state, TimePoint now) const;
    [[nodiscard]] double chargesOf(const State &state, std::uint64_t weights, const Goals *goals,
                                   TimePoint now) const;
    [[nodiscard]] std::uint64_t leastWeights(const Goals *goals, TimePoint now) const;
    struct Open;
    struct Reading;
    [[nodiscard]] Reading readingAt(const Open &engine, const Open &home, const BackendQuery &query,
                                    const std::string &homeKey, TimePoint now) const;
    static void learnWeights(State &state, const ModelId &model, std::uint64_t version);
    [[nodiscard]] static std::uint64_t weightsOf(const State &state, const ModelId &model);

    void subtract(const Peer &peer);

    DataCentreId m_here;
    BackendRates m_rates;
    std::unordered_map<EngineId, State> m_states;
    std::unordered_map<ServiceId, std::vector<EngineId>> m_byService;
    std::unordered_map<ModelId, Goals> m_goals;
    std::unordered_map<std::uint64_t, EngineId> m_byHash;
    std::unordered_map<std::uint64_t, Peer> m_peers;
};

} // namespace vanilladyke
