#pragma once

#include "vanilladyke/policy/exchange_state.hpp"
#include "vanilladyke/policy/wait_limit.hpp"
#include "vanilladyke/traffic/event_splitter.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

/// One attempt of a caller, from the choice of a backend server to the last byte of the answer.
namespace vanilladyke {

/// @brief Where an exchange writes its answer; the caller's connection.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;
    /// @brief Writes bytes. @return false if the caller is gone
    [[nodiscard]] virtual asio::awaitable<bool> write(std::string bytes) = 0;
    /// @brief Header line that says whether the connection stays open, with its line end.
    [[nodiscard]] virtual std::string connectionLine() = 0;
};

/// @brief How an exchange ended for the caller's connection.
enum class ExchangeEnd {
    Answered, ///< a whole answer was written
    Broken,   ///< the answer is not whole; the connection must end
};

/// @brief Carries one request through as many backend servers as it takes and as are allowed.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(TrafficState &state, CallerRequest request, AnswerSink &sink);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    [[nodiscard]] asio::awaitable<ExchangeEnd> run();
    /// @brief The caller closed its connection: nobody waits for the answer any more.
    void callerLeft();
    /// @brief Takes the request back from the engine where it waits, on every open exchange that
    /// carries it.
    static void withdrawHeld(TrafficState &state, const WorkDigest &held);

private:
    /// Less than this is not enough to connect, ask and answer.
    static constexpr Duration LeastTimeForTry = std::chrono::milliseconds(30);

    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /// How one try ended.
    enum class TryEnd {
        Delivered,   ///< the caller has the whole answer
        NotExecuted, ///< the server says that it did not run the request
        Unreached,   ///< no connection
        Failed,      ///< the server answered with a failure, kept in m_failure
        Lost,        ///< no whole answer, nothing of it given to the caller
        Interrupted, ///< the answer broke off after the caller had a part of it
    };

    [[nodiscard]] static std::string_view nameOf(TryEnd end);

    /// An answer that failed, kept in case no other server does better.
    struct Failure
    {
        AnswerHead head;
        std::string body;
    };

    [[nodiscard]] std::optional<Refusal> admit();
    [[nodiscard]] BackendQuery query() const;
    [[nodiscard]] int urgency() const;
    /// When a request that would wait too long at the server may come back.
    [[nodiscard]] std::optional<TimePoint> comesTooLate(const BackendChoice &choice,
                                                        TimePoint now) const;
    [[nodiscard]] SendTerms termsFor(const BackendChoice &choice) const;
    [[nodiscard]] asio::awaitable<bool> waitForBackend(const NoBackend &none);
    [[nodiscard]] asio::awaitable<BackendConnectionPtr> connectionTo(const BackendChoice &choice);
    [[nodiscard]] asio::awaitable<TryEnd> tryBackend(const BackendChoice &choice);
    /// @brief What became of the server under a try that ended so.
    [[nodiscard]] asio::awaitable<void> noteEnd(const BackendChoice &choice, TryEnd end,
                                                TimePoint sentAt);
    [[nodiscard]] std::uint64_t customerHash() const;
    /// Until when the request is sent to no engine, since engines ended under it.
    [[nodiscard]] std::optional<TimePoint> heldUntil(TimePoint now) const;
    /// A server answered the request whole.
    void noteWholeAnswer();
    /// Names the work, as other nodes do; none until the fleet's key is known.
    [[nodiscard]] std::optional<WorkDigest> digest() const;
    [[nodiscard]] asio::awaitable<TryEnd> converse(const BackendChoice &choice,
                                                   const BackendConnectionPtr &connection);
    [[nodiscard]] asio::awaitable<TryEnd> relayEvents(const BackendChoice &choice,
                                                      const BackendConnectionPtr &connection,
                                                      AnswerParser &parser, const AnswerHead &head);
    [[nodiscard]] asio::awaitable<bool> readSome(BackendConnection &connection,
                                                 AnswerParser &parser, std::string *out);
    [[nodiscard]] asio::awaitable<bool> readWhole(BackendConnection &connection,
                                                  AnswerParser &parser, std::string *out);
    void startWriting(const BackendChoice &choice, const BackendConnectionPtr &connection);
    void noteAnswer(const BackendChoice &choice, const AnswerHead &head);
    void release(const BackendConnectionPtr &connection, const AnswerParser &parser,
                 const AnswerHead &head);
    [[nodiscard]] int mostSends() const;
    [[nodiscard]] bool mayRepeat() const;
    [[nodiscard]] bool maySendAgain(TryEnd end) const;
    [[nodiscard]] asio::awaitable<ExchangeEnd> giveUp();
    [[nodiscard]] asio::awaitable<ExchangeEnd> refuse(int status, std::string_view reason,
                                                      std::optional<Duration> retryAfter);
    [[nodiscard]] asio::awaitable<bool> deliver(const AnswerHead &head, const std::string &body);
    /// @brief Until when the try under way may stay silent.
    void setPatience(std::optional<TimePoint> until);
    void due();
    /// When the request has to have begun on the weights of the server that it was sent to.
    [[nodiscard]] std::optional<TimePoint> beginBy() const;
    void scheduleDue(TimePoint now);
    /// A silent server is left only for another one that may be asked, with its share of the budget
    /// taken before the answer that may still come is given up.
    [[nodiscard]] bool reserveSecondSend(TimePoint now);
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
    std::optional<TimePoint> m_patienceEnd;
    TimePoint m_waitUntil; ///< latest time at which a closed server is waited for
    std::shared_ptr<Timed> m_timed;
    BackendConnectionPtr m_connection; ///< of the try under way
    asio::steady_timer m_wait;
    ExchangeState m_exchange;
    EventSplitter m_events;
    std::optional<Failure> m_failure;
    std::vector<EngineId> m_tried;
    std::string m_resumeAfter;
    std::optional<TimePoint> m_firstByteAt;
    NoBackend m_none;
    std::optional<BackendChoice> m_choice; ///< of the last try
    std::optional<Duration> m_weightsLeft; ///< at the last try, if newer weights were named
    int m_sends = 0;                       ///< requests that reached a server
    int m_runs = 0;                        ///< of them, those that may have run
    int m_status = 0;
    bool m_callerLeft = false;
    bool m_timedOut = false;
    bool m_stalled = false;
    bool m_isTooLate = false; ///< it would have waited too long at every server
    bool m_headWritten = false;
    bool m_budgetSpent = false;
    bool m_hasSecondSend = false; ///< taken from the budget and not used yet
    bool m_engineEnded = false;   ///< the server of the last try ended under it
    bool m_isWithdrawn = false;   ///< from an engine where it waited: it ends engines
};

} // namespace vanilladyke
