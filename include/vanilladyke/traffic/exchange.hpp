#pragma once

#include "vanilladyke/policy/exchange_state.hpp"
#include "vanilladyke/policy/wait_limit.hpp"
#include "vanilladyke/traffic/event_splitter.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

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
};

/// @brief Result of an exchange for the caller's connection.
enum class ExchangeResult {
    Answered, ///< a complete answer was written
    Broken,   ///< the answer is incomplete; the connection has to be closed
};

/// @brief Forwards one request, with retries on other backend servers within the route's limits.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(TrafficState &state, CallerRequest request, AnswerSink &sink);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    [[nodiscard]] asio::awaitable<ExchangeResult> run();
    /// @brief The caller closed its connection; aborts the current try.
    void callerDisconnected();
    /// @brief Withdraws a quarantined request from the engines where it waits: aborts every open
    /// exchange with this digest that has not received a first byte.
    static void withdrawQuarantined(TrafficState &state, const WorkDigest &quarantined);

private:
    /// With less time than this left, no try is started: it could not connect and get an answer.
    static constexpr Duration MinTimeForTry = std::chrono::milliseconds(30);

    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// Result of one try at a backend server.
    enum class TryResult {
        Delivered,   ///< the complete answer was written to the caller
        NotExecuted, ///< the server states that it did not run the request
        Unreached,   ///< nothing was sent: no connection, or no room at the server any more
        Failed,      ///< the server answered with a 5xx status; the answer is in m_failure
        Lost,        ///< no complete answer, and nothing of it was written to the caller
        Interrupted, ///< the answer ended early after a part of it was written to the caller
    };

    [[nodiscard]] static std::string_view nameOf(TryResult end);

    /// A 5xx answer, delivered to the caller if no other server gives a better one.
    struct Failure
    {
        AnswerHead head;
        std::string body;
    };

    /// Finds the route and customer and sets the deadlines. @return why the request is refused, if
    /// it is
    [[nodiscard]] std::optional<Refusal> admit();
    [[nodiscard]] BackendQuery query() const;
    [[nodiscard]] int urgency() const;
    /// When the caller may retry a request that would wait too long at the server; none if the
    /// request may be sent there.
    [[nodiscard]] std::optional<TimePoint> retryTimeIfTooLate(const BackendChoice &choice,
                                                              TimePoint now) const;
    [[nodiscard]] BackendRequestOptions optionsFor(const BackendChoice &choice) const;
    /// Waits until a server may be available. @return false if there is no time left for that
    [[nodiscard]] asio::awaitable<bool> waitForBackend(const NoBackend &none);
    [[nodiscard]] asio::awaitable<BackendConnectionPtr> connectionTo(const BackendChoice &choice);
    [[nodiscard]] asio::awaitable<TryResult> tryBackend(const BackendChoice &choice);
    /// Checks after a lost connection whether the engine has ended, and if so, counts that against
    /// the request.
    [[nodiscard]] asio::awaitable<void> recordEngineEnd(const BackendChoice &choice, TryResult end,
                                                        TimePoint sentAt);
    [[nodiscard]] std::uint64_t customerHash() const;
    /// End of the request's quarantine; none if it is not quarantined.
    [[nodiscard]] std::optional<TimePoint> heldUntil(TimePoint now) const;
    /// Clears the request of suspicion after a complete answer.
    void recordCompleteAnswer();
    /// Digest that identifies the request's work on all nodes; none until the fleet's key is known.
    [[nodiscard]] std::optional<WorkDigest> digest() const;
    /// Sends the request and handles the answer.
    [[nodiscard]] asio::awaitable<TryResult> sendAndReceive(const BackendChoice &choice,
                                                            const BackendConnectionPtr &connection);
    /// Forwards the events of a stream as they become complete.
    [[nodiscard]] asio::awaitable<TryResult> relayEvents(const BackendChoice &choice,
                                                         const BackendConnectionPtr &connection,
                                                         AnswerParser &parser,
                                                         const AnswerHead &head);
    [[nodiscard]] asio::awaitable<bool> readSome(BackendConnection &connection,
                                                 AnswerParser &parser, std::string *out);
    [[nodiscard]] asio::awaitable<bool> readCompleteBody(BackendConnection &connection,
                                                         AnswerParser &parser, std::string *out);
    void startWriting(const BackendChoice &choice, const BackendConnectionPtr &connection);
    /// Records the load, rate limit and weights that an answer reports.
    void recordAnswerHead(const BackendChoice &choice, const AnswerHead &head);
    /// Returns the connection to the pool if it can be reused; closes it otherwise.
    void releaseConnection(const BackendConnectionPtr &connection, const AnswerParser &parser,
                           const AnswerHead &head);
    [[nodiscard]] int maxSends() const;
    [[nodiscard]] bool isRepeatable() const;
    [[nodiscard]] bool mayRetry(TryResult end) const;
    /// Writes the final answer when no try delivered one.
    [[nodiscard]] asio::awaitable<ExchangeResult> finishUnanswered();
    [[nodiscard]] asio::awaitable<ExchangeResult> refuse(int status, std::string_view reason,
                                                         std::optional<Duration> retryAfter);
    [[nodiscard]] asio::awaitable<bool> deliver(const AnswerHead &head, const std::string &body);
    /// Sets the time by which the server has to send its next data; none: only the deadline
    /// applies.
    void setAnswerDeadline(std::optional<TimePoint> until);
    /// Called when the timer expires: ends the request at its deadline, or aborts a try that has to
    /// be withdrawn or whose server is unresponsive.
    void onDeadline();
    /// Latest time at which the request may begin on the weights of its server; later it is
    /// withdrawn.
    [[nodiscard]] std::optional<TimePoint> withdrawalTime() const;
    void scheduleTimer(TimePoint now);
    /// Reserves a retry for a try at an unresponsive server. The try may be aborted only if this
    /// succeeds: another server is available and the retry budget allows it. Otherwise an answer
    /// that may still arrive would be discarded without a replacement.
    [[nodiscard]] bool reserveRetry(TimePoint now);
    void abortTry();
    void log(int status, std::string_view outcome);

    TrafficState &m_state;
    CallerRequest m_request;
    AnswerSink &m_sink;
    std::shared_ptr<std::unordered_set<Exchange *>> m_openExchanges;
    std::shared_ptr<const RouteTable> m_table;
    const Route *m_route = nullptr;
    const RoutedCustomer *m_customer = nullptr;
    ServiceId m_service;
    TimePoint m_deadline;
    std::optional<TimePoint> m_answerDeadline;
    TimePoint m_waitUntil; ///< latest time until which to wait for an excluded server
    std::shared_ptr<DeadlineTimer> m_deadlineTimer;
    BackendConnectionPtr m_connection; ///< of the current try
    asio::steady_timer m_wait;
    ExchangeState m_exchange;
    EventSplitter m_events;
    std::optional<Failure> m_failure;
    std::vector<EngineId> m_triedEngines;
    std::string m_resumeAfter;
    std::optional<TimePoint> m_firstByteAt;
    NoBackend m_noBackend;
    std::optional<BackendChoice> m_choice;     ///< of the last try
    std::optional<Duration> m_weightsTimeLeft; ///< at the last try, if newer weights were announced
    int m_sends = 0;                           ///< tries in which the request was sent
    int m_runs = 0;                            ///< those of them in which it may have run
    int m_status = 0;
    bool m_callerDisconnected = false;
    bool m_timedOut = false;
    bool m_stalled = false;   ///< the current try was aborted by onDeadline() for another server
    bool m_isTooLate = false; ///< predicted wait too long at the best server
    bool m_headWritten = false;
    bool m_budgetSpent = false;
    bool m_hasReservedRetry = false; ///< a retry was taken from the budget and not used yet
    bool m_engineEnded = false;      ///< the engine of the last try was found to have ended
    bool m_isWithdrawn = false;      ///< quarantined while it waited at an engine
};

} // namespace vanilladyke
