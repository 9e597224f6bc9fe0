#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/model/routing.hpp"

#include <boost/beast/http/fields.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Requests and answers as the traffic core represents them, independent of the HTTP header names
/// that callers and backend servers use. A Dialect translates between the two.
namespace vanilladyke {

/// @brief One part of a prompt. Parts are listed in prompt order.
struct PromptPart
{
    std::string id;
    std::uint64_t tokens = 0;
};

/// @brief What a node adds to a request that it hands to another node.
struct RelayTerms
{
    std::string seal;    ///< proves that a node of the fleet sent the request; see Exchange
    int mostServers = 1; ///< on which the request may still run
    /// softwareKey() of the version at which the stream has to go on; none: nothing was delivered.
    std::optional<std::uint64_t> software = {};
};

/// @brief A request as a caller sent it. A repetition by the caller is another request.
struct CallerRequest
{
    std::string method;
    std::string target; ///< path and query, unchanged
    std::string host;
    std::string id;                       ///< chosen by the caller, for each attempt
    TimePoint arrived;                    ///< whole
    std::optional<TimePoint> headArrived; ///< none: with the rest
    std::optional<TimePoint> deadline;    ///< end of the caller's own timeout
    std::optional<std::string> key;
    ModelId model; ///< empty if the request specifies none
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    bool namesTokens = false; ///< the request gives both numbers
    std::vector<PromptPart> parts;
    std::string lastEventId; ///< the caller resumes a stream after this event
    /// Id of the caller's attempt that brought the first event of that stream; empty if not named.
    std::string firstAttempt;
    std::string forwardedHeaders; ///< header lines to forward unchanged, each with its line end
    std::string body;
    /// The body's share of the memory for buffers, given back with the request.
    std::shared_ptr<const void> bodyShare;
    bool keepsConnection = true;
    /// Set if another node handed the request on; a caller's own value is dropped.
    std::optional<RelayTerms> relay;
};

/// @brief Headers that this node adds when it hands a request to another node.
struct RelayOptions
{
    TimePoint deadline;
    std::optional<std::string> key; ///< the caller's, which the other node checks, too
    std::string resumeAfter;        ///< id of the last event that the caller has received
    RelayTerms terms;
};

/// @brief Headers that this node adds when it forwards a request to a backend server.
struct BackendRequestOptions
{
    TimePoint deadline;
    EngineId expectedEngine;   ///< a server with another id refuses the request
    std::uint64_t weights = 0; ///< a server on another version refuses the request; 0: any version
    CustomerId customer;       ///< empty if the request needs no key
    int urgency = 5;           ///< 0 (first) to 9 (last)
    std::string cacheSalt;     ///< cached work is shared only between equal salts
    /// Engine or store that may have parts that the engine lacks.
    std::optional<Endpoint> fetchFrom;
    std::optional<Endpoint> saveTo; ///< store that receives the parts that the engine prefills
    std::string resumeAfter;        ///< id of the last event that the caller has received
};

/// @brief Number of requests at a server, as the server reports it.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
};

/// @brief Status line and headers of a backend server's answer.
struct AnswerHead
{
    int status = 0;
    std::string reason;
    std::string requestId;      ///< empty if the answer has none
    bool isStamped = false;     ///< has the response stamp of a backend server
    bool isNotExecuted = false; ///< the server states that it did not run the request
    /// The body has a content coding, so it is not what the server itself sent.
    bool isEncoded = false;
    bool closesConnection = false;     ///< the server closes the connection after this answer
    std::optional<Duration> keepAlive; ///< time for which the server keeps an idle connection open
    std::optional<std::uint64_t> weights;
    std::optional<ReportedLoad> load;
    /// Rate limit of the server over all nodes, in requests per second; none if it reports none.
    std::optional<double> requestsPerSecond;
    /// Id of the server that has answered in place of the expected one; empty if not named.
    EngineId instance;
    bool isLeaving = false;       ///< the server says that it leaves
    std::optional<Duration> rest; ///< for which the server wants no request of this node
    /// Rejections in a second over which the server falls over; none if it bears any number.
    std::optional<double> brittleRejections;
    /// softwareKey() of the server's version, in an answer that another node handed on.
    std::optional<std::uint64_t> software;
    std::string forwardedHeaders; ///< header lines to forward to the caller, each with its line end
};

/// @brief A request whose headers can't be parsed, with the reason.
struct MalformedHead
{
    std::string reason;
};

using HttpFields = boost::beast::http::fields;

/// @brief Translates between HTTP headers and the types of the traffic core.
///
/// Holds functions, so that the library that defines the headers stays independent of this one.
struct Dialect
{
    std::function<Outcome<CallerRequest, MalformedHead>(const HttpFields &fields, TimePoint now)>
            parseRequest;
    std::function<void(const BackendRequestOptions &options, TimePoint now, std::string *lines)>
            writeOptions;
    std::function<void(const RelayOptions &options, TimePoint now, std::string *lines)> writeRelay;
    std::function<AnswerHead(int status, const HttpFields &fields)> parseAnswer;
    /// Header line that tells the node which handed a request on the server's software version.
    std::function<std::string(std::uint64_t software)> softwareLine;
    /// Header line of an answer which states that the request was not run.
    std::string notExecutedLine;
};

} // namespace vanilladyke
