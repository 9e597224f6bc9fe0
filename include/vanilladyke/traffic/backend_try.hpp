#pragma once

#include "vanilladyke/policy/exchange_state.hpp"
#include "vanilladyke/traffic/answer_head.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

/// One try of a request at one backend server, from the connection to the bytes of the answer.
namespace vanilladyke {

/// @brief Result of a try.
enum class TryResult {
    Delivered,   ///< the complete answer was written to the caller
    NotExecuted, ///< the server states that it did not run the request
    Unreached,   ///< nothing was sent: no connection, or no room at the server any more
    Failed,      ///< the server answered with a 5xx status
    Kept,        ///< the server answered with an error, kept while another server is asked
    Lost,        ///< no complete answer, and nothing of it was written to the caller
    Interrupted, ///< the answer ended early after a part of it was written to the caller
};

[[nodiscard]] std::string_view toString(TryResult result);

/// @brief Why this node ended a try before its server did.
enum class AbortReason {
    None,           ///< the node did not end it
    CallerLeft,     ///< the caller closed its connection
    CallerDeadline, ///< the time that the caller waits is over
    RouteTimeout,   ///< the route's timeout, which was earlier than the caller's deadline
    NodeStops,      ///< this node's process ends, which was earlier than both
    WeightsExpire,  ///< the request would begin on weights that may not be used any more
    Quarantined,    ///< engines ended under the request
    Replaced,       ///< another server began to answer
    Unneeded,       ///< the server that was tried before began or went on to answer
};

[[nodiscard]] std::string_view toString(AbortReason reason);

/// @brief Whether the node chose to end the try: neither its caller nor a deadline did.
[[nodiscard]] bool isOwnChoice(AbortReason reason);
/// @brief Whether the server had not answered when the node left it.
[[nodiscard]] bool isLeftAsSilent(AbortReason reason);

/// @brief The body of an answer, which counts as kept while the object lives.
struct KeptBody
{
    std::string text;
    AnswerShare share;
};

/// @brief What a try has to bring.
struct TryTerms
{
    bool isStream = false; ///< a successful answer is a series of events
    bool isResume = false; ///< the caller has a part of the stream; nothing but a stream may follow
};

/// @brief Sends a request to one server and reads the answer up to its start: the first event of a
/// stream, or a complete answer of any other kind. The rest of a stream is read by the caller.
///
/// Two tries of one request may be under way at the same time, each with its own connection, until
/// one of them has received the start of an answer. For use on the traffic thread only.
class BackendTry : public std::enable_shared_from_this<BackendTry>
{
public:
    using AnswerParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    BackendTry(TrafficState &state, std::shared_ptr<const CallerRequest> request, TryTerms terms,
               BackendChoice choice);
    BackendTry(const BackendTry &) = delete;
    BackendTry &operator=(const BackendTry &) = delete;

    /// @brief Takes a connection from the pool or opens one. @return false if there is none
    [[nodiscard]] asio::awaitable<bool> connect();
    /// @brief Returns the connection to the pool without having sent anything.
    void releaseUnused();
    /// @brief Starts to send the request; the answer may begin before the whole body is sent.
    void send(const BackendRequestOptions &options);
    /// @brief Starts to hand the request to another node.
    void sendToRelay(const RelayOptions &options);
    /// @brief Reads up to the start of the answer to this request.
    /// @return none if the answer has started; otherwise the result of the try: NotExecuted, or
    /// Lost if no usable answer started
    [[nodiscard]] asio::awaitable<std::optional<TryResult>> receiveStart();
    /// @brief Reads some more bytes of the answer's body, without the transfer coding.
    /// @return false if the connection ended
    [[nodiscard]] asio::awaitable<bool> readSome(std::string *out);
    /// @brief Whether the answer has been read to its end.
    [[nodiscard]] bool isWhole() const { return m_parser && m_parser->is_done() && !m_isCut; }
    /// @brief Whether only the end of the connection marks the end of the answer.
    [[nodiscard]] bool endsWithConnection() const { return m_parser->get().need_eof(); }
    /// @brief Returns the connection to the pool if it can be reused; closes it otherwise.
    void release();
    /// @brief Ends the try. The first reason counts.
    void abort(AbortReason reason);
    void close();
    /// @brief Whether bytes were received that have not been read yet.
    [[nodiscard]] bool hasUnreadData() const;

    [[nodiscard]] bool isRelay() const { return m_choice.isRelay; }
    [[nodiscard]] const BackendChoice &choice() const { return m_choice; }
    [[nodiscard]] const AnswerHead &head() const { return m_head; }
    [[nodiscard]] AbortReason abortReason() const { return m_abortReason; }
    [[nodiscard]] bool isAborted() const { return m_abortReason != AbortReason::None; }
    /// @brief Bytes of the request that the server's kernel had not acknowledged when the try was
    /// aborted; none if it was not, or if the system does not tell.
    [[nodiscard]] std::optional<std::size_t> unackedAtAbort() const { return m_unackedAtAbort; }
    /// @brief Whether the request was sent and the server has not begun to answer it.
    [[nodiscard]] bool isWaiting() const { return m_sentAt && !m_hasHead; }
    /// @brief When the request was sent; none if it was not.
    [[nodiscard]] std::optional<TimePoint> sentAt() const { return m_sentAt; }
    /// @brief When the answer started; none if it has not.
    [[nodiscard]] std::optional<TimePoint> beganAt() const { return m_beganAt; }
    /// @brief Whether the request may have run in this try.
    [[nodiscard]] Ran ran() const { return m_progress.ran(); }
    void apply(ExchangeEvent event) { m_progress.apply(event); }
    /// @brief The body that receiveStart() read, to be processed first; then empty.
    [[nodiscard]] KeptBody takeBody();

    /// @brief Keeps the place at a brittle engine that the request is sent with.
    void holdPlace(const PlaceTicket &place) { m_place = place; }
    /// @brief Gives the place back, if there is one.
    void returnPlace(TryResult end);

    bool engineEnded = false; ///< the engine was found to have ended during the try

private:
    void beginHead();
    void write();
    [[nodiscard]] asio::awaitable<bool> readCompleteBody();
    /// Reads the rest of an answer without keeping it. @return whether that ended in time
    [[nodiscard]] asio::awaitable<bool> discardBody();
    /// Reads up to the end of the stream's first event.
    /// @return false if there is none and nothing but the connection's end marks the stream's end
    [[nodiscard]] asio::awaitable<bool> readFirstEvent();
    /// Counts the buffered body among those of all tries. @return false if it has to be given up
    [[nodiscard]] bool fitsIntoMemory();
    [[nodiscard]] asio::awaitable<std::optional<TryResult>> receiveBodyStart();
    /// Logs a head that can't be read.
    void logHeadError(const ErrorCode &error) const;
    /// Logs an answer that is given up because of its head.
    void logMalformed(int status, HeadFault fault) const;
    /// Records the load, rate limit and weights that an answer reports.
    void recordHead();
    /// Whether the answer turned the request away because the engine was full.
    [[nodiscard]] bool isRejectedForRoom() const;
    /// Logs a rejection while servers are brittle. @param room as known before the rejection
    void logRejection(const RoomKnowledge &room) const;
    void recordStart();

    TrafficState &m_state;
    std::shared_ptr<const CallerRequest> m_request;
    TryTerms m_terms;
    BackendChoice m_choice;
    BackendConnectionPtr m_connection;
    std::optional<AnswerParser> m_parser; ///< of the answer being read
    AnswerHead m_head;
    std::string m_body;
    AnswerShare m_share; ///< of m_body
    ExchangeState m_progress;
    std::optional<PlaceTicket> m_place;
    std::optional<TimePoint> m_sentAt;
    std::optional<TimePoint> m_beganAt;
    AbortReason m_abortReason = AbortReason::None;
    std::optional<std::size_t> m_unackedAtAbort;
    bool m_hasHead = false;    ///< m_head is of the answer to this request
    bool m_wasLoading = false; ///< the engine loaded weights when it answered
    /// Bytes that were buffered after the last read, such as the line end of a chunk.
    std::size_t m_buffered = 0;
    /// The connection marks the end of the answer, and did not end in order.
    bool m_isCut = false;
    bool m_sawStray = false; ///< an answer to another request arrived on the connection
};

using BackendTryPtr = std::shared_ptr<BackendTry>;

} // namespace vanilladyke
