#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/model/routing.hpp"

#include <boost/beast/http/fields.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// What the traffic core knows of a request and an answer, without the names that callers and
/// backend servers use for it. A dialect translates; the core decides.
namespace vanilladyke {

/// @brief One part of a prompt, in the prompt's order.
struct PromptPart
{
    std::string id;
    std::uint64_t tokens = 0;
};

/// @brief One attempt of a caller.
struct CallerRequest
{
    std::string method;
    std::string target; ///< path and query as the caller sent them
    std::string host;
    std::string id; ///< of the attempt; the caller's own
    TimePoint arrived;
    std::optional<TimePoint> deadline; ///< how long the caller waits
    std::optional<std::string> key;
    ModelId model; ///< empty if none is named
    std::uint64_t promptTokens = 0;
    std::uint64_t mostOutputTokens = 0;
    std::vector<PromptPart> parts;
    std::string lastEventId; ///< the caller resumes a stream behind this event
    std::string passedOn;    ///< header lines for the backend server as they came, with line ends
    std::string body;
    bool keepsConnection = true;
};

/// @brief What goes with a request to one backend server.
struct SendTerms
{
    TimePoint deadline;
    EngineId expected;                 ///< any other server refuses the request
    std::uint64_t weights = 0;         ///< any other version refuses it; 0 leaves it open
    CustomerId customer;               ///< empty if the request needs no key
    int urgency = 5;                   ///< 0 goes first, 9 last
    std::string cacheSalt;             ///< cached work is only found under the same text
    std::optional<Endpoint> fetchFrom; ///< parts that the engine lacks may be there
    std::optional<Endpoint> saveTo;    ///< parts that it reads go there
    std::string resumeAfter;           ///< last event that the caller has
};

/// @brief A server's load as it tells it.
struct ReportedLoad
{
    int running = 0;
    int waiting = 0;
};

/// @brief The head of a backend server's answer.
struct AnswerHead
{
    int status = 0;
    std::string reason;
    std::string requestId; ///< empty if the server names none
    bool isStamped = false;
    bool isNotExecuted = false; ///< the server says that it did not run the request
    bool isEncoded = false;     ///< the body is not the server's own bytes
    bool closes = false;
    std::optional<Duration> keepAlive; ///< how long the server keeps an idle connection
    std::optional<std::uint64_t> weights;
    std::optional<ReportedLoad> load;
    /// Requests that the server takes from all nodes together; none: it names no limit.
    std::optional<double> requestsPerSecond;
    std::string passedOn; ///< header lines for the caller, with line ends
};

/// @brief A request that can't be read, with the reason for the caller.
struct BadHead
{
    std::string reason;
};

using HttpFields = boost::beast::http::fields;

/// @brief Translates between the wire and the core. Functions, since it crosses libraries.
struct Dialect
{
    std::function<Outcome<CallerRequest, BadHead>(const HttpFields &fields, TimePoint now)>
            readCaller;
    std::function<void(const SendTerms &terms, TimePoint now, std::string *lines)> writeTerms;
    std::function<AnswerHead(int status, const HttpFields &fields)> readAnswer;
};

} // namespace vanilladyke
