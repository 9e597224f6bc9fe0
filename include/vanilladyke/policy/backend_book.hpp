#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/policy/backend_choice.hpp"
#include "vanilladyke/policy/draining_work.hpp"
#include "vanilladyke/policy/engine_limit.hpp"
#include "vanilladyke/policy/fetch_share.hpp"
#include "vanilladyke/policy/part_holders.hpp"
#include "vanilladyke/policy/route_table.hpp"
#include "vanilladyke/policy/weights_announcements.hpp"

#include <deque>
#include <unordered_map>

/// Where a request goes: the backend server with the least predicted time to its first token.
///
/// Load patterns, and what answers each:
/// - Long prompts share parts that cost an engine a tenth of a second to read. Each shared part has
///   a home, the first engine of its rendezvous order, which all nodes compute alike; a request
///   leaves it only when waiting there costs more than fetching or reading elsewhere.
/// - A home is crowded or gone: the next of the order takes over, and fetches the part from an
///   engine that some node sent it to lately, or from the kept-cache store, as far as the
///   store's link carries.
/// - Short requests behind long ones: the prompts that wait at an engine count as waiting for those
///   that are no more urgent.
/// - Many nodes with a part of the load each: what others tell of theirs counts as this node's own;
///   what an engine reports beyond that counts until the report is ReportLife old.
/// - So many nodes that news is half a second old: were all to weigh all servers, all would take
/// the
///   same few that were idle then. Each node weighs the first servers of an order of its own.
/// - All of them have a queue: servers that are drawn for this request are weighed beside them
///   before it is refused. Drawn anew for each, they spread what finds no room over the fleet.
/// - An engine that answers nothing while requests wait there is avoided after SilenceToAvoid; one
///   that fails a part of its requests is charged BackendRates::failureCost for the part.
/// - Engines of any speed: how fast they read is learned from the requests that met no queue, for
///   each service, and how much slower than that an engine is; see engine_pace.hpp.
/// - New weights: until a part's home has them, the first engine of its order that does stands in
///   for it. Engines on older ones are charged the part of a request's worth that is lost
///   there, BackendRates::oldWeightsPart, and are closed to a request that might begin there when
///   the platform's time for them is over. Engines with a second's queue close a second sooner.
namespace vanilladyke {

/// @brief Weights that were named for a model.
struct NamedWeights
{
    ModelId model;
    WeightsAnnouncement date;
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
    /// What a transfer of cached work takes beside its bytes.
    static constexpr Millis FetchSetup{6};
    static constexpr Duration FailureHalfLife = std::chrono::seconds(3);
    static constexpr Duration FirstClose = std::chrono::milliseconds(250);
    static constexpr Duration LongestClose = std::chrono::seconds(2);
    /// After newer weights were known somewhere: an answer on the older ones costs nothing yet.
    static constexpr Duration OldWeightsGrace = std::chrono::milliseconds(800);
    /// Before the time of replaced weights is over: news of them comes late, and clocks differ.
    static constexpr Duration OldWeightsMargin = std::chrono::milliseconds(1500);
    static constexpr std::size_t WholeUpTo = 24; ///< servers of a service that are all weighed
    static constexpr std::size_t MostPlacementsTold = 400;
    /// How long a node tells of weights that it brought: a datagram may be lost.
    static constexpr Duration TellWeightsFor = std::chrono::seconds(3);

    /// @param self tells this node's order of servers from other nodes' orders
    BackendBook(DataCentreId here, BackendRates rates, std::uint64_t self = 0);

    /// @brief Takes over the servers that may get requests.
    void setBackends(const std::vector<BackendEntry> &serving);
    /// @brief Replaces the rates of transfers that the configuration tells.
    void setTransferRates(const TransferRates &rates);
    /// @brief New weights were named, or it was learned when.
    /// @return whether anything changed by it
    bool weightsNamed(const NamedWeights &weights, AnnouncementSource grounds, TimePoint now);
    /// @brief What other nodes may rely on of the weights that were named.
    [[nodiscard]] std::vector<NamedWeights> namedWeights() const;

    [[nodiscard]] tl::expected<BackendChoice, NoBackend> choose(const BackendQuery &query,
                                                                TimePoint now) const;
    /// @brief When the time is over in which a request may begin on the server's weights.
    /// @return none if no newer ones were named
    [[nodiscard]] std::optional<TimePoint> weightsEnd(const EngineId &id,
                                                      const ModelId &model) const;
    /// @brief The request goes out to the chosen server.
    void sent(const BackendChoice &choice, const BackendQuery &query, TimePoint now);
    /// @brief The server began to answer: the prompt is read.
    void began(const BackendChoice &choice, TimePoint now);
    /// @brief The exchange is over. @param failed the server's fault
    void ended(const BackendChoice &choice, bool hadBegun, bool failed, TimePoint now);
    /// @brief No connection, or the server sheds: nothing goes there for a while.
    void close(const EngineId &id, TimePoint now);
    void reported(const EngineId &id, int running, int waiting, TimePoint now);
    /// @brief An answer named the server's limit for all nodes together, or none.
    /// @return whether it is another than before
    bool limitNamed(const EngineId &id, std::optional<double> perSecond, TimePoint now);
    /// @brief An answer showed the version of the server's weights.
    void sawWeights(const EngineId &id, const ModelId &model, std::uint64_t version);
    /// @brief The server refused the version that was believed to be there.
    void doubtWeights(const EngineId &id, const ModelId &model, TimePoint now);
    /// @brief This node has the engine load new weights, most likely until then.
    void loading(const EngineId &id, TimePoint until);
    /// @brief The load that this node ordered has ended.
    void loaded(const EngineId &id, const ModelId &model, std::uint64_t version, TimePoint now);

    /// @brief What this node has to tell of servers, the busiest first.
    [[nodiscard]] std::vector<BackendLoadNews> ownLoad(std::size_t most, TimePoint now) const;
    /// @brief What this node has to tell of servers that name a limit.
    [[nodiscard]] std::vector<LimitNews> ownLimits(TimePoint now) const;
    /// @return servers whose limit is another than before
    std::vector<EngineId> heardLimits(std::uint64_t node, const std::vector<LimitNews> &news,
                                      TimePoint now);
    /// @brief The limit that a server names for all nodes together.
    [[nodiscard]] std::optional<double> limitOf(const EngineId &id) const;
    /// @brief Whether the server's limit still has room: others may have gone there since the
    /// choice.
    [[nodiscard]] bool hasRoom(const EngineId &id, TimePoint now) const;
    [[nodiscard]] std::size_t limitedEngines() const;
    /// @brief Where this node sent expensive shared parts since it was asked last.
    [[nodiscard]] std::vector<PlacementNews> takePlacements();
    [[nodiscard]] bool hasPlacements() const { return !m_placements.empty(); }
    /// @brief Another node's load; it replaces what that node told before.
    void heardLoad(std::uint64_t node, const std::vector<BackendLoadNews> &news, TimePoint now);
    void heardPlacements(const std::vector<PlacementNews> &news, TimePoint now);
    /// @brief Drops the load of nodes that were not heard of for PeerLife.
    void forgetSilentPeers(TimePoint now);
    /// @brief The name under which nodes tell each other of the server.
    [[nodiscard]] static std::uint64_t hashOf(const EngineId &id);
    [[nodiscard]] static std::uint64_t hashOf(const Endpoint &store);

    /// @brief What was learned of a service's engines.
    [[nodiscard]] const EnginePace &paceOf(const ServiceId &service) const;
    /// @brief Shared tokens that are worth a home at a service's engines.
    [[nodiscard]] std::uint64_t leastHomeTokens(const ServiceId &service) const;
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
        EnginePace *pace = nullptr;     ///< of its service
        RunLength *runs = nullptr;      ///< of its service
        RunLength *slotTimes = nullptr; ///< of its service: how long a request keeps its slot
        std::deque<TimePoint> begunAt;  ///< own requests that run; which ended doesn't matter
        EngineSlowness slowness;
        WaitingWork waiting;   ///< predicted reading time of own requests that have not begun
        TimePoint silentSince; ///< when the oldest wait without any answer began
        int reportedRunning = 0;
        int reportedWaiting = 0;
        int ownAtReport = 0;
        TimePoint reportedAt;
        DrainingWork peersWaiting;
        double peersInFlight = 0; ///< as of peersInFlightAt; requests end as time passes
        TimePoint peersInFlightAt;
        TimePoint loadingUntil;
        TimePoint orderedUntil; ///< by this node; others only hear of its own orders
        TimePoint tellUntil;    ///< news of weights that this node brought
        double failurePart = 0;
        TimePoint failureAt;
        TimePoint closedUntil;
        Duration lastClose{};
        EngineLimit limit;
    };
    /// What another node has at a server.
    struct PeerPart
    {
        std::uint64_t backend = 0;
        DrainingWork::Told waiting;
        int inFlight = 0;
    };
    struct Peer
    {
        TimePoint heardAt;
        std::vector<PeerPart> parts;
    };
    /// When a server that can't take a request now may take one; none if it can.
    [[nodiscard]] std::optional<TimePoint> opensLater(const State &state, TimePoint now) const;
    /// A server that is weighed for a request.
    struct Candidate
    {
        const State *state = nullptr;
        std::uint64_t order = 0; ///< in the order of the shared part; the highest is the first home
        Millis waits{};
        Millis cost{}; ///< without reading
    };
    /// How the request's prompt would come into an engine's memory.
    struct Reading
    {
        Millis time{};
        Millis charge{};
        bool isHeld = false;
        std::optional<Endpoint> fetchFrom;
        std::optional<Endpoint> saveTo;
        std::uint64_t store = 0;
        double tokens = 0; ///< that the engine reads itself
    };
    /// The servers that are weighed for a request.
    struct Weighed
    {
        std::vector<Candidate> open;
        DataCentreId homeCentre; ///< of the shared part's first home, open or not
    };

    /// @param more how many servers are weighed beside those that always are
    [[nodiscard]] Weighed weigh(const BackendQuery &query, const WeightsAnnouncements *dates,
                                std::size_t more, TimePoint now, NoBackend *none) const;
    /// @return 0 if none were named
    [[nodiscard]] std::uint64_t newestWeights(const ModelId &model) const;
    /// Leaves the first homes of the order, the first that have the newest weights, those that were
    /// sent the part, and some others that differ from request to request.
    void keepHomes(const BackendQuery &query, std::size_t more, TimePoint now,
                   std::vector<Candidate> *open) const;
    [[nodiscard]] std::optional<BackendChoice> best(const BackendQuery &query,
                                                    const Weighed &weighed, TimePoint now) const;
    [[nodiscard]] DataCentreId homeCentre(const std::vector<const State *> &all,
                                          std::uint64_t part) const;
    [[nodiscard]] Millis waitOf(const State &state, int urgency, TimePoint now) const;
    static void slotGivenBack(State &state, const BackendChoice &choice, TimePoint now);
    /// A request at the server has begun, or will not.
    static void waitsNoMore(State &state, const BackendChoice &choice);
    [[nodiscard]] Millis chargesOf(const State &state, const BackendQuery &query,
                                   const WeightsAnnouncements *dates, TimePoint now) const;
    [[nodiscard]] static Millis readTime(const State &state, double tokens, TimePoint now);
    [[nodiscard]] bool isSilent(const State &state, TimePoint now) const;
    [[nodiscard]] bool mayBegin(const State &state, const BackendQuery &query,
                                const WeightsAnnouncements *dates, TimePoint now) const;
    /// A number in [0, 1) that differs between requests for the same part.
    [[nodiscard]] static double drawFor(std::uint64_t part, TimePoint now);
    [[nodiscard]] Reading readingAt(const State &engine, const State &home,
                                    const BackendQuery &query, const KeptStore *store,
                                    TimePoint now) const;
    [[nodiscard]] const State *holderBeside(const State &engine,
                                            const PartHolders::Question &question,
                                            const BackendQuery &query, TimePoint now) const;
    void apply(const PlacementNews &news, TimePoint now);
    [[nodiscard]] State *find(const EngineId &id);
    static void learnWeights(State &state, const ModelId &model, std::uint64_t version);
    [[nodiscard]] static std::uint64_t weightsOf(const State &state, const ModelId &model);
    void subtract(const Peer &peer, TimePoint now);
    /// Requests that others told of and that most likely still run.
    [[nodiscard]] static double peersInFlight(const State &state, TimePoint now);
    static void changePeersInFlight(State &state, double by, TimePoint now);

    DataCentreId m_here;
    BackendRates m_rates;
    std::uint64_t m_self;
    std::unordered_map<ServiceId, EnginePace> m_paces;
    std::unordered_map<ServiceId, RunLength> m_runs;
    std::unordered_map<ServiceId, RunLength> m_slotTimes;
    std::unordered_map<EngineId, State> m_states;
    /// Servers of each service in this node's own order. They stand in m_states.
    std::unordered_map<ServiceId, std::vector<const State *>> m_byService;
    std::unordered_map<std::uint64_t, State *> m_byHash;
    std::unordered_map<ModelId, WeightsAnnouncements> m_weightsDates;
    std::unordered_map<std::uint64_t, Peer> m_peers;
    PartHolders m_holders;
    FetchShare m_fetches;
    std::vector<PlacementNews> m_placements; ///< not yet told
};

} // namespace vanilladyke
