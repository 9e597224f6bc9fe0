#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/policy/backend_choice.hpp"
#include "vanilladyke/policy/brittle_engine.hpp"
#include "vanilladyke/policy/engine_limit.hpp"
#include "vanilladyke/policy/engine_statements.hpp"
#include "vanilladyke/policy/fetch_share.hpp"
#include "vanilladyke/policy/part_holders.hpp"
#include "vanilladyke/policy/peer_backlog.hpp"
#include "vanilladyke/policy/route_table.hpp"
#include "vanilladyke/policy/weights_announcements.hpp"

#include <deque>
#include <unordered_map>

/// Selects the backend server with the least predicted time to the first token.
///
/// Load patterns and how they are handled:
/// - Long prompts share parts whose prefill takes an engine a tenth of a second. Each shared part
///   has a preferred engine, the first of its rendezvous order, which all nodes compute alike. A
///   request leaves it only if the wait there costs more than a fetch or a prefill elsewhere.
/// - The preferred engine is overloaded or gone: the next of the order takes over. It fetches the
///   part from an engine to which a node recently sent it, or from the kept-cache store within the
///   capacity of the store's link.
/// - Short requests behind long ones: a waiting prompt only counts as backlog for requests that are
///   no more urgent.
/// - Many nodes share the load: the load that other nodes report counts like this node's own. What
///   an engine reports beyond that counts until the report is ReportLifetime old.
/// - In large fleets load updates are half a second old. If all nodes evaluated all servers, all
///   would select the few that were idle then; each node therefore evaluates the first servers of
///   an order of its own.
/// - All of these have a queue: further servers, drawn at random for this request, are evaluated
///   before it is refused. A new draw for each request spreads the excess over the fleet.
/// - An engine that answers nothing while requests wait there is avoided after UnresponsiveAfter.
///   An engine that fails a fraction of its requests is penalised by
///   BackendCostParameters::failurePenalty times that fraction.
/// - Engines of any speed: the prefill throughput of each service is learned from requests that met
///   no queue, and the slowdown of each engine relative to it; see prefill_throughput.hpp.
/// - New weights: until the preferred engine of a part has loaded them, the first engine of the
///   order that has loaded them replaces it. Engines on older weights get a penalty for the value
///   that an answer loses there, BackendCostParameters::oldWeightsPenalty. They are excluded for
///   requests that might begin after the platform's period for old weights: an engine with a queue
///   of a second is excluded a second earlier.
namespace vanilladyke {

/// @brief Weights that the operator announced for a model.
struct AnnouncedWeights
{
    ModelId model;
    WeightsAnnouncement date;
};

/// @brief What a server can run, for the node that grants its places.
struct RoomTerms
{
    EngineId id;
    ServiceId service;
    int slots = 1;
    std::optional<TimePoint> brittleSince; ///< none: it is not known to be brittle
};

/// @brief What a node knows of the room at a server, for its log.
struct RoomKnowledge
{
    bool isBrittle = false;   ///< the server said so, here or to another node
    bool isLoading = false;   ///< it loads new weights, and rejects requests meanwhile
    bool hasAnswered = false; ///< this node has read an answer of it that told its load
    int slots = 0;
    int inFlight = 0;      ///< requests of this node
    int peersInFlight = 0; ///< requests of other nodes, as their last updates say
    Duration peersAge{};   ///< since the last change of these
};

/// @brief State of the backend servers as one node sees it. Pure.
class BackendTracker
{
public:
    static constexpr Duration ReportLifetime = std::chrono::milliseconds(1000);
    /// Delay before a retry if the service has no servers. A node that has just started reads the
    /// list of servers within some tens of milliseconds.
    static constexpr Duration UnknownServiceRetryDelay = std::chrono::milliseconds(25);
    static constexpr Duration PeerLifetime = std::chrono::seconds(2);
    static constexpr Duration UnresponsiveAfter = std::chrono::milliseconds(450);
    /// Time of a transfer of cached work besides its bytes.
    static constexpr Millis FetchSetup{6};
    static constexpr Duration FailureHalfLife = std::chrono::seconds(3);
    static constexpr Duration MinExclusion = std::chrono::milliseconds(250);
    static constexpr Duration MaxExclusion = std::chrono::seconds(2);
    /// How long a brittle server that denied a place is not asked again by other requests. It was
    /// denied for the time that one request could wait, so that it says little of others.
    static constexpr Duration PlacePause = std::chrono::milliseconds(10);
    /// No penalty for old weights until this time after a node received the announcement of newer
    /// ones: an answer on the old ones still has its full value.
    static constexpr Duration OldWeightsGrace = std::chrono::milliseconds(800);
    /// Safety margin before the end of the period for old weights: updates arrive late, and clocks
    /// differ.
    static constexpr Duration OldWeightsMargin = std::chrono::milliseconds(1500);
    /// All servers of a service are evaluated up to this number.
    static constexpr std::size_t EvaluateAllUpTo = 24;
    static constexpr std::size_t MaxPendingPlacements = 400;
    /// Servers that aren't listed and whose last start is known.
    static constexpr std::size_t MaxUnlistedStarts = 4096;
    /// How long a node reports weights that it loaded; repeated because datagrams may be lost.
    static constexpr Duration ReportWeightsFor = std::chrono::seconds(3);

    /// @param self seed of this node's own order of servers, distinct for each node
    BackendTracker(DataCentreId here, BackendCostParameters rates, std::uint64_t self = 0);

    /// @brief Replaces the list of servers; the state of those that remain is kept.
    void setBackends(const std::vector<BackendEntry> &serving, TimePoint now = {});
    /// @brief Sets the transfer rates of the configuration.
    void setTransferRates(const TransferRates &rates);
    /// @brief New weights were announced, or the time of an announcement was learned.
    /// @return whether the recorded dates changed
    bool weightsAnnounced(const AnnouncedWeights &weights, AnnouncementSource grounds,
                          TimePoint now);
    /// @brief The announcements that may be sent to other nodes.
    [[nodiscard]] std::vector<AnnouncedWeights> announcedWeights() const;

    [[nodiscard]] tl::expected<BackendChoice, NoBackend> choose(const BackendQuery &query,
                                                                TimePoint now) const;
    /// @brief End of the period in which a request may begin on the server's weights.
    /// @return none if no newer weights were announced
    [[nodiscard]] std::optional<TimePoint> weightsEnd(const EngineId &id,
                                                      const ModelId &model) const;
    /// @brief Records that the request was sent to the selected server.
    void sent(const BackendChoice &choice, const BackendQuery &query, TimePoint now);
    /// @brief Records the first token: the prefill is complete.
    void began(const BackendChoice &choice, TimePoint now);
    /// @brief Records the end of the exchange. @param failed by a fault of the server
    void ended(const BackendChoice &choice, bool hadBegun, bool failed, TimePoint now);
    /// @brief Excludes the server for a while: no connection, or it sheds load.
    void exclude(const EngineId &id, TimePoint now);
    /// @brief Excludes the server while attempts to connect to it get no answer, so that no request
    /// waits for another one. The next attempt is due before @p until.
    void unreachable(const EngineId &id, TimePoint until);
    /// @brief Ends the exclusion of a server that accepts connections again.
    void reachable(const EngineId &id);
    void reported(const EngineId &id, int running, int waiting, TimePoint now);
    /// @brief Records the rate limit that an answer of the server carried, for all nodes together;
    /// none: no limit.
    /// @return whether the limit changed
    bool limitObserved(const EngineId &id, std::optional<double> perSecond, TimePoint now);
    /// @brief Records that an answer of the server said that it leaves. @return whether it is news
    bool leavingObserved(const EngineId &id, TimePoint now);
    /// @brief Updates to send on servers that leave.
    [[nodiscard]] std::vector<LeavingUpdate> ownLeaving(TimePoint now) const;
    /// @return servers of which this node did not know that they leave
    std::vector<EngineId> receivedLeaving(const std::vector<LeavingUpdate> &updates, TimePoint now);
    /// @brief Records that the server wants no request of this node for @p rest.
    /// @return the end of its rest
    TimePoint restAsked(const EngineId &id, Duration rest, TimePoint now);
    /// @brief Records how many rejections a second the server says that it bears; none: any number.
    /// @return whether that changed
    bool brittleObserved(const EngineId &id, std::optional<double> rejections, TimePoint now);
    /// @brief Records that no place at the brittle server was granted.
    void placeDenied(const EngineId &id, TimePoint now);
    /// @brief Whether the server says that it falls over if it has to reject too many requests.
    [[nodiscard]] bool isBrittle(const EngineId &id) const;
    [[nodiscard]] bool hasBrittle() const;
    /// @brief Rejections in a second over which the server falls over; none: it bears any number.
    [[nodiscard]] std::optional<double> rejectionsOf(const EngineId &id) const;
    /// @brief The room at a server. @param backend hash of its id
    [[nodiscard]] std::optional<RoomTerms> roomTerms(std::uint64_t backend) const;
    /// @brief Requests in flight at a server, of this node and as others told. @param backend hash
    /// of its id
    [[nodiscard]] int toldInFlight(std::uint64_t backend) const;
    [[nodiscard]] RoomKnowledge roomKnowledge(const EngineId &id, TimePoint now) const;
    /// @brief Updates to send on brittle servers.
    [[nodiscard]] std::vector<BrittleUpdate> ownBrittle(TimePoint now) const;
    /// @return servers whose statement changed
    std::vector<EngineId> receivedBrittle(const std::vector<BrittleUpdate> &updates, TimePoint now);
    /// @brief Records the version of the weights that an answer carried.
    void weightsObserved(const EngineId &id, const ModelId &model, std::uint64_t version);
    /// @brief Records that the server refused a request because of the recorded version.
    void weightsRefused(const EngineId &id, const ModelId &model, TimePoint now);
    /// @brief Records that this node ordered a load of new weights, with its predicted end.
    void startedLoading(const EngineId &id, TimePoint until);
    /// @brief Records the end of a load that this node ordered.
    void finishedLoading(const EngineId &id, const ModelId &model, std::uint64_t version,
                         TimePoint now);

    /// @brief Load updates to send, the servers with the longest backlog first.
    [[nodiscard]] std::vector<BackendLoadUpdate> ownLoad(std::size_t most, TimePoint now) const;
    /// @brief Updates to send on servers with a rate limit.
    [[nodiscard]] std::vector<LimitUpdate> ownLimits(TimePoint now) const;
    /// @return servers whose limit changed
    std::vector<EngineId> receivedLimits(std::uint64_t node,
                                         const std::vector<LimitUpdate> &updates, TimePoint now);
    /// @brief Rate limit of a server for all nodes together.
    [[nodiscard]] std::optional<double> limitOf(const EngineId &id) const;
    /// @brief Whether the server's limit still has capacity; other requests may have used it since
    /// the selection.
    [[nodiscard]] bool hasCapacity(const EngineId &id, TimePoint now) const;
    [[nodiscard]] std::size_t limitedEngines() const;
    /// @brief Placement updates since the last call.
    [[nodiscard]] std::vector<PlacementUpdate> takePlacements();
    [[nodiscard]] bool hasPlacements() const { return !m_placements.empty(); }
    /// @brief Applies the load update of another node, which replaces its previous one.
    void receivedLoad(std::uint64_t node, const std::vector<BackendLoadUpdate> &updates,
                      TimePoint now);
    void receivedPlacements(const std::vector<PlacementUpdate> &updates, TimePoint now);
    /// @brief Drops the load of nodes that have sent no update for PeerLifetime.
    void dropExpiredPeers(TimePoint now);
    /// @brief Hash that identifies the server in updates between nodes.
    [[nodiscard]] static std::uint64_t hashOf(const EngineId &id);
    [[nodiscard]] static std::uint64_t hashOf(const Endpoint &store);

    /// @brief Learned prefill throughput of a service's engines.
    [[nodiscard]] const PrefillThroughput &throughputOf(const ServiceId &service) const;
    /// @brief Minimum number of shared tokens for which a preferred engine pays off.
    [[nodiscard]] std::uint64_t minPreferredTokens(const ServiceId &service) const;
    [[nodiscard]] int inFlight(const EngineId &id) const;
    [[nodiscard]] std::size_t size() const { return m_states.size(); }
    [[nodiscard]] bool contains(const EngineId &id) const { return m_states.contains(id); }
    /// @brief Whether a known server of the service has this software version.
    [[nodiscard]] bool serves(const ServiceId &service, std::uint64_t software) const;
    /// @brief Whether the server is known and has this software version.
    [[nodiscard]] bool hasSoftware(const EngineId &id, std::uint64_t software) const;
    /// @return null if the server is not known
    [[nodiscard]] const BackendEntry *entryOf(const EngineId &id) const;
    [[nodiscard]] std::vector<BackendEntry> entries() const;
    [[nodiscard]] std::vector<BackendEntry> entriesOf(const ServiceId &service) const;
    [[nodiscard]] std::size_t serversOf(const ServiceId &service) const;

private:
    struct State
    {
        BackendEntry entry;
        std::uint64_t hash = 0;
        std::uint64_t software = 0; ///< softwareKey() of its version
        int inFlight = 0;
        int unanswered = 0;
        PrefillThroughput *throughput = nullptr; ///< of its service
        RequestDuration *durations = nullptr;    ///< of its service
        /// Of its service: how long a request occupies a slot.
        RequestDuration *slotTimes = nullptr;
        /// Start times of own running requests, not matched to the ones that end.
        std::deque<TimePoint> begunAt;
        EngineSlowdown slowdown;
        PrefillBacklog backlog;    ///< predicted prefill time of own requests without a first token
        TimePoint unansweredSince; ///< start of the current wait without any answer
        int reportedRunning = 0;
        int reportedWaiting = 0;
        int ownAtReport = 0;
        TimePoint reportedAt;
        PeerBacklog peerBacklog;
        double peersInFlight = 0; ///< at peersInFlightAt; decays as requests end
        TimePoint peersInFlightAt;
        TimePoint loadingUntil;
        /// End of a load that this node ordered; only such loads are sent to other nodes.
        TimePoint orderedUntil;
        TimePoint reportUntil; ///< end of reporting the weights that this node loaded
        double failureFraction = 0;
        TimePoint failureAt;
        TimePoint excludedUntil;
        TimePoint unreachableUntil;
        Duration lastExclusion{};
        EngineLimit limit;
        BrittleEngine brittle;
        TimePoint placeDeniedUntil; ///< no place at the brittle server is granted before
        int peersTold = 0; ///< requests of other nodes in flight, as their last updates say
    };
    /// Load of another node at a server.
    struct PeerLoad
    {
        std::uint64_t backend = 0;
        PeerBacklog::Report report;
        int inFlight = 0;
    };
    struct Peer
    {
        TimePoint lastSeenAt;
        std::vector<PeerLoad> loads;
    };
    /// When a server that is unavailable for requests now may be available; none if it is
    /// available.
    [[nodiscard]] std::optional<TimePoint> availableAt(const State &state, TimePoint now) const;
    /// Updates what is known of the server's service after the server's statement changed.
    void noteBrittleness(const State &state);
    /// A server that is evaluated for a request.
    struct Candidate
    {
        const State *state = nullptr;
        std::uint64_t order = 0; ///< rank in the order of the shared part; the highest is preferred
        Millis wait{};
        Millis cost{}; ///< without prefill
    };
    /// How the prompt would get into an engine's prefix cache, and at which cost.
    struct PrefillPlan
    {
        Millis time{};
        Millis penalty{};
        bool isCached = false;
        std::optional<Endpoint> fetchFrom;
        std::optional<Endpoint> saveTo;
        std::uint64_t store = 0;
        double tokens = 0; ///< prefilled by the engine itself
    };
    /// The servers that are evaluated for a request.
    struct CandidateSet
    {
        std::vector<Candidate> available;
        /// Data centre of the first engine of the part's order, available or not.
        DataCentreId preferredDataCentre;
    };

    /// @param more number of servers to evaluate in addition to the usual ones
    [[nodiscard]] CandidateSet collectCandidates(const BackendQuery &query,
                                                 const WeightsAnnouncements *dates,
                                                 std::size_t more, TimePoint now,
                                                 NoBackend *none) const;
    /// @return 0 if none were announced
    [[nodiscard]] std::uint64_t newestWeights(const ModelId &model) const;
    /// Keeps the first engines of the order, the first that have the newest weights, those that
    /// were sent the part, and `more` others that differ from request to request.
    void limitCandidates(const BackendQuery &query, std::size_t more, TimePoint now,
                         std::vector<Candidate> *available) const;
    [[nodiscard]] std::optional<BackendChoice>
    best(const BackendQuery &query, const CandidateSet &candidates, TimePoint now) const;
    [[nodiscard]] DataCentreId preferredDataCentre(const std::vector<const State *> &all,
                                                   std::uint64_t part) const;
    [[nodiscard]] Millis predictedWait(const State &state, int urgency, TimePoint now) const;
    static void observeSlotTime(State &state, const BackendChoice &choice, TimePoint now);
    /// Removes a request from the backlog: its answer has begun, or will not.
    static void removeFromBacklog(State &state, const BackendChoice &choice);
    [[nodiscard]] Millis penaltiesOf(const State &state, const BackendQuery &query,
                                     const WeightsAnnouncements *dates, TimePoint now) const;
    [[nodiscard]] static Millis prefillTime(const State &state, double tokens, TimePoint now);
    [[nodiscard]] bool isUnresponsive(const State &state, TimePoint now) const;
    [[nodiscard]] bool canBeginInTime(const State &state, const BackendQuery &query,
                                      const WeightsAnnouncements *dates, TimePoint now) const;
    /// Pseudo-random number in [0, 1) that differs between requests for the same part.
    [[nodiscard]] static double drawFor(std::uint64_t part, TimePoint now);
    [[nodiscard]] PrefillPlan planPrefill(const State &engine, const State &preferred,
                                          const BackendQuery &query, const KeptStore *store,
                                          TimePoint now) const;
    [[nodiscard]] const State *fetchSource(const State &engine, const PartHolders::Lookup &lookup,
                                           const BackendQuery &query, TimePoint now) const;
    void apply(const PlacementUpdate &update, TimePoint now);
    /// Forgets what the server said if its last entry was of another start.
    /// @return whether it was
    bool recordStart(const BackendEntry &entry, TimePoint now);
    [[nodiscard]] State *find(const EngineId &id);
    static void recordWeights(State &state, const ModelId &model, std::uint64_t version);
    [[nodiscard]] static std::uint64_t weightsOf(const State &state, const ModelId &model);
    void subtract(const Peer &peer, TimePoint now);
    /// Estimated number of requests of other nodes that are still running.
    [[nodiscard]] static double peersInFlight(const State &state, TimePoint now);
    static void changePeersInFlight(State &state, double by, TimePoint now);

    DataCentreId m_here;
    BackendCostParameters m_costs;
    std::uint64_t m_self;
    EngineStatements m_statements;
    /// By server: the start in its last entry, kept while the server isn't listed.
    std::unordered_map<std::uint64_t, std::uint64_t> m_starts;
    /// Services of which a server is brittle, with the rejections that the last one bears.
    std::unordered_map<ServiceId, double> m_brittleServices;
    std::unordered_map<ServiceId, PrefillThroughput> m_throughputs;
    std::unordered_map<ServiceId, RequestDuration> m_durations;
    std::unordered_map<ServiceId, RequestDuration> m_slotTimes;
    std::unordered_map<EngineId, State> m_states;
    /// Servers of each service in this node's own order. Point into m_states.
    std::unordered_map<ServiceId, std::vector<const State *>> m_byService;
    std::unordered_map<std::uint64_t, State *> m_byHash;
    std::unordered_map<ModelId, WeightsAnnouncements> m_weightsDates;
    std::unordered_map<std::uint64_t, Peer> m_peers;
    PartHolders m_holders;
    FetchShare m_fetches;
    std::vector<PlacementUpdate> m_placements; ///< not sent yet
};

} // namespace vanilladyke
