#pragma once

#include "vanilladyke/policy/answer_rank.hpp"
#include "vanilladyke/policy/further_try.hpp"
#include "vanilladyke/policy/stream_version.hpp"
#include "vanilladyke/policy/wait_limit.hpp"
#include "vanilladyke/traffic/backend_try.hpp"
#include "vanilladyke/traffic/event_splitter.hpp"

/// Handling of one caller request, from the choice of a backend server to the last byte of the
/// answer.
namespace vanilladyke {

/// @brief Destination of an exchange's answer: the caller's connection.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// @brief Writes bytes. @return false if the caller has disconnected
    [[nodiscard]] virtual asio::awaitable<bool> write(std::string bytes) = 0;
    /// @brief "Connection" header line with its line end; empty if the connection stays open.
    [[nodiscard]] virtual std::string connectionLine() = 0;
    /// @brief Whether the caller has closed its connection, also if the event loop has not
    /// delivered the close yet.
    [[nodiscard]] virtual bool hasCallerLeft() = 0;
};

/// @brief Result of an exchange for the caller's connection.
enum class ExchangeResult {
    Answered, ///< a complete answer was written
    Broken,   ///< the answer is incomplete; the connection has to be closed
};

/// @brief Forwards one request, with retries on other backend servers within the route's limits.
///
/// A server that is silent for long is not given up: the request is hedged, which means that a
/// second server is asked while the first one goes on. Whichever begins to answer first serves the
/// caller, and only then the other try is ended. If the second server refuses or can't be reached,
/// the answer of the first one is still there. Giving up the first server before that would cut an
/// answer for which there is no replacement.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(TrafficState &state, CallerRequest request, AnswerSink &sink);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    [[nodiscard]] asio::awaitable<ExchangeResult> run();
    /// @brief The caller closed its connection; aborts all tries.
    void callerDisconnected();
    /// @brief Withdraws a quarantined request from the engines where it waits: aborts every try
    /// with this digest that has not received a first byte, read or unread.
    static void withdrawQuarantined(TrafficState &state, const WorkDigest &quarantined);

    /// @brief Hedges requests at once that wait for servers which this node does not reach any
    /// more.
    static void hedgeCutOff(TrafficState &state, TimePoint now);
    /// @brief Limits all open requests to the time until this node stops. Cut without an answer, a
    /// caller could not tell that its request may have run.
    static void endBeforeStop(TrafficState &state);
    /// @brief Has servers checked at which requests have waited for long without any answer.
    static void suspectSilentServers(TrafficState &state, TimePoint now);

private:
    /// Limit of tries of one request that are under way at the same time.
    static constexpr std::size_t MaxOpenTries = 2;

    /// An error of a server, delivered to the caller if no other server gives a better answer.
    struct ErrorAnswer
    {
        AnswerHead head;
        KeptBody body;
    };

    // Admission and the sequence of tries.

    /// Finds the route and customer and sets the deadlines. @return why the request is refused, if
    /// it is
    [[nodiscard]] std::optional<Refusal> admit();
    /// Brings the deadline forward to the time when this node stops.
    void limitToStop();
    /// Chooses the server of the next try, waiting for one if necessary. @return null if the
    /// request has to end without another try
    [[nodiscard]] asio::awaitable<BackendTryPtr> nextTry();
    /// Takes the request from its customer's quota. @return why it is refused, if it is
    [[nodiscard]] std::optional<Refusal> chargeQuota(TimePoint now);
    /// Gives back what was taken from the quota if the request has not run.
    void returnUnusedCharge();
    /// Serves a request that was admitted, with further tries if necessary.
    [[nodiscard]] asio::awaitable<ExchangeResult> serve();
    /// Ends the tries that are still open when the request has its final answer.
    [[nodiscard]] asio::awaitable<void> endOpenTries();
    /// Waits until then, or until a try ends or begins to answer.
    [[nodiscard]] asio::awaitable<void> waitUntil(TimePoint until);
    /// Waits until the request, of which the caller has a part, may be sent again.
    [[nodiscard]] asio::awaitable<void> pauseBeforeResuming();
    /// Waits until a server may be available. @return false if there is no time left for that
    [[nodiscard]] asio::awaitable<bool> waitForBackend(const NoBackend &none);
    /// Whether the request may be sent to a further server, after the last try or beside a silent
    /// one.
    [[nodiscard]] bool mayTryAgain(TimePoint now);
    [[nodiscard]] bool isRepeatable() const;

    // The software version of a stream; see stream_origins.hpp.

    /// Finds the software version that began the stream which the caller takes up.
    /// @return false if no node knows it
    [[nodiscard]] asio::awaitable<bool> bindToOrigin();
    /// Binds the stream to the version of the server that has written its first event, and records
    /// it under the attempt. Called before the caller gets the event.
    [[nodiscard]] asio::awaitable<void> bindToServer(BackendTryPtr attempt);
    /// What is known of the service's versions when a stream of unknown origin is taken up.
    [[nodiscard]] VersionEvidence versionEvidence(const OriginReport &report,
                                                  bool isListFresh) const;
    /// Whether the answer comes from another version than the one that began the stream.
    [[nodiscard]] bool hasOtherSoftware(const BackendTry &attempt) const;
    /// Whether no server is left that may go on with the stream.
    [[nodiscard]] bool isVersionGone() const;
    /// Latest time at which the caller may come back for the stream.
    [[nodiscard]] TimePoint comesBackUntil() const;

    // Requests that are handed to another node; see relay_nodes.hpp.

    /// @return none if the request may not be handed on, or if no node can take it
    [[nodiscard]] std::optional<BackendChoice> chooseRelay(TimePoint now);
    /// The next server, or a relay where this node does not reach the service. @return none if
    /// there is neither now
    [[nodiscard]] tl::expected<BackendChoice, NoBackend> chooseTarget(TimePoint now);
    [[nodiscard]] RelayOptions relayOptions() const;
    /// Records the result of a try at another node.
    void finishRelay(const BackendTry &attempt, TryResult end, TimePoint now);
    /// Servers on which the request may run in total.
    [[nodiscard]] int mostServers() const;
    /// Whether the request may only return to servers that this node left: the route allows no
    /// further ones.
    [[nodiscard]] bool isBoundToLeftServers() const;
    /// Whether one of those servers may be asked again now.
    [[nodiscard]] bool canReturn(TimePoint now) const;

    // What is asked of a server.

    [[nodiscard]] BackendQuery query() const;
    [[nodiscard]] int urgency() const;
    /// When the caller may retry a request that would wait too long at the server; none if the
    /// request may be sent there.
    [[nodiscard]] std::optional<TimePoint> retryTimeIfTooLate(const BackendChoice &choice,
                                                              TimePoint now) const;
    [[nodiscard]] BackendRequestOptions optionsFor(const BackendChoice &choice) const;

    // Single tries.

    [[nodiscard]] BackendTryPtr makeTry(const BackendChoice &choice);
    /// Performs a try to its end; of one whose answer has started, only the rest.
    [[nodiscard]] asio::awaitable<TryResult> perform(BackendTryPtr attempt);
    /// Whether nothing of the try's answer may be forwarded, though it may have started: another
    /// server answers, or the try was withdrawn.
    [[nodiscard]] bool isDiscarded(const BackendTry &attempt) const;
    /// Connects, sends the request and waits for the start of the answer. @return the result of a
    /// try without an answer; none if the answer has started
    [[nodiscard]] asio::awaitable<std::optional<TryResult>> startTry(BackendTryPtr attempt);
    /// Takes a place at the engine of the try, if that is brittle. @return false if there is none
    [[nodiscard]] asio::awaitable<bool> takePlace(BackendTryPtr attempt);
    /// Takes the retry budget for a try that is not the first one. @return false if it is spent
    [[nodiscard]] bool takeRetry(const BackendTryPtr &attempt, TimePoint now);
    /// Why the request is sent again: how the try before ended, or that it is silent.
    [[nodiscard]] std::string_view retryReason(const BackendTryPtr &attempt) const;
    /// Logs a retry or its denial when it is decided: the line of the whole request comes at its
    /// end, and never if the process ends before.
    void logRetry(const BackendTryPtr &attempt, bool isAllowed, TimePoint now);
    void recordSent(const BackendTry &attempt, TimePoint now);
    /// Logs that the request is not sent, since the caller's close lay in its socket.
    void logClosedBeforeSend(const BackendTry &attempt, TimePoint now) const;
    /// Logs a send after which the request may run on several servers, here or over several nodes.
    void logRun(const BackendTry &attempt) const;
    /// Records whether the request may return to the server of a try that ended early.
    void recordLeft(const BackendTry &attempt);
    /// Records the result of a try that has ended.
    [[nodiscard]] asio::awaitable<void> finishTry(BackendTryPtr attempt, TryResult end);
    /// Checks after a lost connection whether the engine has ended, and if so, counts that against
    /// the request.
    [[nodiscard]] asio::awaitable<void> recordEngineEnd(BackendTryPtr attempt);
    void logFailedTry(const BackendTry &attempt, TryResult end) const;
    /// Ids of the parts of the prompt that other requests may share, for the log.
    [[nodiscard]] std::string sharedParts() const;
    /// Clears the request and its parts of suspicion after a complete answer.
    /// @param isDelivered the answer was a success
    void recordCompleteAnswer(bool isDelivered);
    /// Whether the digest is the request's, or that of one of its shared parts to which ends of
    /// engines are attributed.
    [[nodiscard]] bool isWork(const WorkDigest &quarantined) const;
    /// Digests of the parts of its prompt that other requests may share, the same on all nodes;
    /// none until the fleet's key is known.
    [[nodiscard]] const std::vector<WorkDigest> &partDigests() const;
    [[nodiscard]] std::uint64_t customerHash() const;
    /// End of the request's quarantine; none if it is not quarantined.
    [[nodiscard]] std::optional<TimePoint> heldUntil(TimePoint now) const;
    /// Digest that identifies the request's work on all nodes; none until the fleet's key is known.
    [[nodiscard]] std::optional<WorkDigest> digest() const;
    /// Whether the request may have run, over all its tries.
    [[nodiscard]] Ran ran() const;

    // Hedging and deadlines.

    /// Chooses a second server and takes a retry from the budget for it. @return none if no other
    /// server is available, or if the limits of the route or the budget allow no other try
    [[nodiscard]] std::optional<BackendChoice> reserveHedge(TimePoint now);
    void startHedge(const BackendChoice &choice, TimePoint now);
    [[nodiscard]] asio::awaitable<void> runHedge(BackendTryPtr hedge);
    /// The server that answers the caller has sent data: ends the hedges.
    void dropHedges();
    /// Waits for the hedges that are under way once no other try is left. @return the one that has
    /// begun to answer; null if none has
    [[nodiscard]] asio::awaitable<BackendTryPtr> takeSuccessor();
    /// The tries that were not aborted.
    [[nodiscard]] std::vector<BackendTryPtr> openTries() const;
    /// Schedules the hedge of a waiting try whose weights expire. @return when it is withdrawn
    [[nodiscard]] std::optional<TimePoint> scheduleWithdrawal(const BackendTry &attempt,
                                                              TimePoint now);
    /// Sets the time by which a server has to send its next data; none: only the deadline applies.
    void setAnswerDeadline(std::optional<TimePoint> until);
    /// Called when the timer expires: ends the request at its deadline, withdraws tries from
    /// expiring weights, and hedges a silent try.
    void onDeadline();
    void onSilence(TimePoint now);
    /// Aborts the tries that would begin on expired weights.
    void withdrawExpiring(TimePoint now);
    /// Latest time at which a waiting try may begin on the weights of its server; none if nothing
    /// limits it.
    [[nodiscard]] std::optional<TimePoint> weightsEnd(const BackendTry &attempt) const;
    void scheduleTimer(TimePoint now);
    /// Aborts all tries, and the wait for a server.
    void abortTries(AbortReason reason);

    // Answers to the caller.

    /// Forwards an answer that has started.
    [[nodiscard]] asio::awaitable<TryResult> forward(BackendTryPtr attempt);
    /// Forwards the events of a stream as they become complete.
    [[nodiscard]] asio::awaitable<TryResult> relayEvents(BackendTryPtr attempt);
    /// Writes events to the caller, after the head if it has not been written yet.
    [[nodiscard]] asio::awaitable<bool> writeEvents(const AnswerHead &head,
                                                    const std::string &events, bool isLast);
    [[nodiscard]] asio::awaitable<bool> deliver(const AnswerHead &head, const std::string &body);
    /// Keeps an error for the caller, unless the one that is kept already ranks higher.
    /// @return the result of the try
    [[nodiscard]] TryResult keepError(BackendTry &attempt);
    /// Whether an answer is kept that needs no further server.
    [[nodiscard]] bool isAnswered() const;
    /// Writes the final answer when no try delivered one.
    [[nodiscard]] asio::awaitable<ExchangeResult> finishUnanswered();
    [[nodiscard]] asio::awaitable<ExchangeResult> refuse(int status, std::string_view reason,
                                                         std::optional<Duration> retryAfter);
    void log(int status, std::string_view outcome);
    /// Counts a request without a whole answer whose last try this node ended by its own choice.
    void countOwnCut();

    TrafficState &m_state;
    std::shared_ptr<const CallerRequest> m_request;
    AnswerSink &m_sink;
    std::shared_ptr<std::unordered_set<Exchange *>> m_openExchanges;
    std::shared_ptr<int> m_openRelayed;
    std::shared_ptr<const RouteTable> m_table;
    const Route *m_route = nullptr;
    const RoutedCustomer *m_customer = nullptr;
    ServiceId m_service;
    double m_charged = 0; ///< taken from the customer's quota
    TimePoint m_deadline;
    AbortReason m_deadlineReason = AbortReason::RouteTimeout; ///< whose deadline m_deadline is
    std::optional<TimePoint> m_answerDeadline;
    int m_unreadDataExtensions = 0; ///< of that deadline, because data had arrived
    TimePoint m_waitUntil;          ///< latest time until which to wait for an excluded server
    std::shared_ptr<DeadlineTimer> m_deadlineTimer;
    asio::steady_timer m_wait;           ///< cancelled when a hedge ends or begins to answer
    BackendTryPtr m_current;             ///< the try that run() performs; null between tries
    std::vector<BackendTryPtr> m_hedges; ///< other tries that have not begun to answer
    BackendTryPtr m_successor;           ///< a hedge that has begun to answer
    EventSplitter m_events;
    std::optional<ErrorAnswer> m_error;
    mutable std::optional<std::vector<WorkDigest>> m_partDigests; ///< computed when needed
    std::vector<EngineId> m_triedEngines;
    std::vector<Endpoint> m_triedRelays;
    std::string m_resumeAfter;
    /// softwareKey() of the version that has to go on with the stream; none: any may.
    std::optional<std::uint64_t> m_software;
    bool m_isOriginRecorded = false;
    std::optional<TimePoint> m_firstByteAt; ///< of the last try that began to answer
    NoBackend m_noBackend;
    std::optional<TimePoint> m_placeExpectedAt; ///< at a brittle engine that denied a place
    std::optional<BackendChoice> m_choice;      ///< of the last try
    std::optional<Duration> m_weightsTimeLeft; ///< at the last try, if newer weights were announced
    AbortReason m_lastAbort = AbortReason::None; ///< of the last try that ended
    std::optional<TryResult> m_lastEnd;          ///< of the last try that ended
    int m_ownAborts = 0;                         ///< tries that this node ended by its own choice
    std::optional<FurtherTryDenial> m_denial;    ///< of the last further try that was considered
    int m_connectFailures = 0;
    int m_hedgesStarted = 0;
    int m_sends = 0; ///< tries in which the request was sent
    TimePoint m_lastSentAt;
    int m_runs = 0; ///< those of them in which it may have run
    /// Servers that this node left for another one, and that have not broken off since.
    std::vector<EngineId> m_leftServers;
    int m_status = 0;
    bool m_callerDisconnected = false;
    bool m_timedOut = false;
    bool m_isWriting = false; ///< events are being written to the caller
    bool m_isOver = false;    ///< the request has its final answer
    bool m_isTooLate = false; ///< predicted wait too long at the best server
    bool m_headWritten = false;
    bool m_budgetSpent = false;
    bool m_isCutOff = false; ///< no server of the service is reached, here or by another node
    bool m_hasReservedRetry = false; ///< a retry was taken from the budget and not used yet
    bool m_mayHaveRun = false;       ///< in a try that has ended
};

} // namespace vanilladyke
