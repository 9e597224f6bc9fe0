#pragma once

#include "vanilladyke/traffic/caller_session.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

/// Backend server for tests, which answers each request with bytes that the test supplies.
namespace vanilladyke {

/// @brief A request as the server received it.
struct ReceivedRequest
{
    std::string target;
    std::map<std::string, std::string> fields;
    std::string body;
    int connection = 0; ///< number of the connection, from 1 in order of acceptance
};

/// @brief A later part of an answer, written as soon as a condition holds.
struct ScriptedPart
{
    std::string bytes;
    std::function<bool()> when; ///< asked again and again until it holds; none: at once
};

/// @brief The server's reaction to a request.
struct ScriptedAnswer
{
    std::string bytes;
    enum class NextAction { KeepOpen, Close, Reset, Hang } nextAction = NextAction::KeepOpen;
    Duration after{};                  ///< delay before the bytes are written
    std::vector<ScriptedPart> parts{}; ///< written in order after the bytes
};

/// @brief Listens on a free loopback port and runs on the test's context.
class ScriptedBackend
{
public:
    using Script = std::function<ScriptedAnswer(const ReceivedRequest &)>;

    ScriptedBackend(asio::io_context &context, Script script);

    [[nodiscard]] Endpoint endpoint() const;
    /// New connections are refused from now on; open ones live on.
    void stopListening() { m_acceptor.close(); }
    std::vector<ReceivedRequest> received;
    int closedByPeer = 0; ///< connections that the node closed while no answer was sent
    std::function<void(const ErrorCode &)> onPeerEnd = [](const ErrorCode &) {}; ///< how it closed
    int completed = 0; ///< answers written to their last part without an error

private:
    [[nodiscard]] asio::awaitable<void> accept();
    [[nodiscard]] asio::awaitable<void> serve(Tcp::socket socket, int number);

    asio::io_context &m_context;
    Tcp::acceptor m_acceptor;
    Script m_script;
    int m_connections = 0;
};

/// @brief Dialect for tests with short header names: "Id", "Key", "Model", "Stamp", "Refused" and
/// so on.
[[nodiscard]] Dialect testDialect();

inline ScriptedBackend::ScriptedBackend(asio::io_context &context, Script script)
    : m_context(context)
    , m_acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_script(std::move(script))
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

inline Endpoint ScriptedBackend::endpoint() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

inline asio::awaitable<void> ScriptedBackend::accept()
{
    for (;;) {
        ErrorCode error;
        Tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, redirectError(error));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket), ++m_connections), asio::detached);
    }
}

inline asio::awaitable<void> ScriptedBackend::serve(Tcp::socket socket, int number)
{
    boost::beast::flat_buffer buffer;
    for (;;) {
        boost::beast::http::request<boost::beast::http::string_body> request;
        ErrorCode error;
        co_await boost::beast::http::async_read(socket, buffer, request, redirectError(error));
        if (error) {
            co_return;
        }
        ReceivedRequest read{std::string(request.target()), {}, request.body(), number};
        for (const auto &field : request) {
            read.fields[std::string(field.name_string())] = std::string(field.value());
        }
        received.push_back(read);
        const ScriptedAnswer answer = m_script(read);
        if (answer.after > Duration::zero()) {
            asio::steady_timer timer(m_context, answer.after);
            co_await timer.async_wait(redirectError(error));
        }
        co_await asio::async_write(socket, asio::buffer(answer.bytes), redirectError(error));
        for (const ScriptedPart &part : answer.parts) {
            while (part.when && !part.when()) {
                constexpr Duration Step = std::chrono::milliseconds(1);
                asio::steady_timer timer(m_context, Step);
                co_await timer.async_wait(redirectError(error));
            }
            co_await asio::async_write(socket, asio::buffer(part.bytes), redirectError(error));
        }
        completed += error ? 0 : 1;
        if (answer.nextAction == ScriptedAnswer::NextAction::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            co_return;
        }
        if (answer.nextAction == ScriptedAnswer::NextAction::Close) {
            co_return;
        }
        if (answer.nextAction == ScriptedAnswer::NextAction::Hang) {
            std::array<char, 1> byte{};
            co_await socket.async_read_some(asio::buffer(byte), redirectError(error));
            ++closedByPeer;
            onPeerEnd(error);
            co_return;
        }
    }
}

inline Dialect testDialect()
{
    Dialect dialect;
    dialect.parseRequest = [](const HttpFields &fields,
                              TimePoint now) -> Outcome<CallerRequest, MalformedHead> {
        CallerRequest request;
        request.arrived = now;
        request.host = std::string(fields["Host"]);
        request.id = std::string(fields["Id"]);
        request.model = ModelId(std::string(fields["Model"]));
        request.forwardedHeaders = "Id: " + request.id + "\r\n";
        if (fields.count("Key") > 0) {
            request.key = std::string(fields["Key"]);
        }
        if (fields.count("Seal") > 0) {
            request.relay = RelayTerms{
                    std::string(fields["Seal"]), std::stoi(std::string(fields["Servers"])), {}};
            if (fields.count("Software") > 0) {
                request.relay->software = std::stoull(std::string(fields["Software"]));
            }
        }
        std::istringstream parts{std::string(fields["Parts"])};
        for (std::string part; std::getline(parts, part, ',');) {
            request.parts.push_back({part, 10});
        }
        request.firstAttempt = std::string(fields["First-Attempt"]);
        request.lastEventId = std::string(fields["Resume"]);
        if (fields.count("Deadline") > 0) {
            request.deadline =
                    now + std::chrono::milliseconds(std::stoi(std::string(fields["Deadline"])));
        }
        return request;
    };
    dialect.writeOptions = [](const BackendRequestOptions &options, TimePoint /*now*/,
                              std::string *lines) {
        *lines += "Expect-Engine: " + options.expectedEngine.str()
                  + "\r\nCustomer: " + options.customer.str() + "\r\n";
        if (!options.resumeAfter.empty()) {
            *lines += "Resume: " + options.resumeAfter + "\r\n";
        }
    };
    dialect.writeRelay = [](const RelayOptions &options, TimePoint now, std::string *lines) {
        const auto left =
                std::chrono::duration_cast<std::chrono::milliseconds>(options.deadline - now);
        *lines += "Key: " + options.key.value_or("") + "\r\nSeal: " + options.terms.seal
                  + "\r\nServers: " + std::to_string(options.terms.mostServers)
                  + "\r\nDeadline: " + std::to_string(left.count()) + "\r\n";
        if (options.terms.software) {
            *lines += "Software: " + std::to_string(*options.terms.software) + "\r\n";
        }
        if (!options.resumeAfter.empty()) {
            *lines += "Resume: " + options.resumeAfter + "\r\n";
        }
    };
    dialect.softwareLine = [](std::uint64_t software) {
        return "Software: " + std::to_string(software) + "\r\n";
    };
    dialect.notExecutedLine = "Refused: 1\r\n";
    dialect.parseAnswer = [](int status, const HttpFields &fields) {
        AnswerHead head;
        head.status = status;
        head.reason = "R";
        head.requestId = std::string(fields["Id"]);
        head.isStamped = fields.count("Stamp") > 0;
        head.isNotExecuted = fields.count("Refused") > 0;
        head.isEncoded = fields.count("Content-Encoding") > 0;
        head.instance = EngineId(std::string(fields["Instance"]));
        if (fields.count("Software") > 0) {
            head.software = std::stoull(std::string(fields["Software"]));
        }
        head.forwardedHeaders =
                "Id: " + head.requestId + "\r\nStamp: " + std::string(fields["Stamp"]) + "\r\n";
        return head;
    };
    return dialect;
}

} // namespace vanilladyke
