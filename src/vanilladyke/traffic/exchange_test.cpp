#include "vanilladyke/traffic/scripted_backend.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <gtest/gtest.h>

#include <array>

namespace vanilladyke {

namespace http = boost::beast::http;

ScriptedBackend::ScriptedBackend(asio::io_context &context, Script script)
    : m_context(context)
    , m_acceptor(context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_script(std::move(script))
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

Endpoint ScriptedBackend::endpoint() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

asio::awaitable<void> ScriptedBackend::accept()
{
    for (;;) {
        ErrorCode error;
        Tcp::socket socket(m_context);
        co_await m_acceptor.async_accept(socket, into(error));
        if (error) {
            co_return;
        }
        asio::co_spawn(m_context, serve(std::move(socket), ++m_connections), asio::detached);
    }
}

asio::awaitable<void> ScriptedBackend::serve(Tcp::socket socket, int number)
{
    boost::beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> request;
        ErrorCode error;
        co_await http::async_read(socket, buffer, request, into(error));
        if (error) {
            co_return;
        }
        SeenRequest read{std::string(request.target()), {}, request.body(), number};
        for (const auto &field : request) {
            read.fields[std::string(field.name_string())] = std::string(field.value());
        }
        seen.push_back(read);
        const ScriptedAnswer answer = m_script(read);
        if (answer.after > Duration::zero()) {
            asio::steady_timer timer(m_context, answer.after);
            co_await timer.async_wait(into(error));
        }
        co_await asio::async_write(socket, asio::buffer(answer.bytes), into(error));
        if (answer.then == ScriptedAnswer::Then::Reset) {
            socket.set_option(asio::socket_base::linger(true, 0), error);
            co_return;
        }
        if (answer.then == ScriptedAnswer::Then::Close) {
            co_return;
        }
        if (answer.then == ScriptedAnswer::Then::Silence) {
            std::array<char, 1> byte{};
            co_await socket.async_read_some(asio::buffer(byte), into(error));
            ++closedByPeer;
            co_return;
        }
    }
}

Dialect plainDialect()
{
    Dialect dialect;
    dialect.readCaller = [](const HttpFields &fields,
                            TimePoint now) -> Outcome<CallerRequest, BadHead> {
        CallerRequest request;
        request.arrived = now;
        request.host = std::string(fields["Host"]);
        request.id = std::string(fields["Id"]);
        request.model = ModelId(std::string(fields["Model"]));
        request.passedOn = "Id: " + request.id + "\r\n";
        if (fields.count("Key") > 0) {
            request.key = std::string(fields["Key"]);
        }
        return request;
    };
    dialect.writeTerms = [](const SendTerms &terms, TimePoint /*now*/, std::string *lines) {
        *lines += "Expect-Engine: " + terms.expected.str() + "\r\nCustomer: " + terms.customer.str()
                  + "\r\n";
        if (!terms.resumeAfter.empty()) {
            *lines += "Resume: " + terms.resumeAfter + "\r\n";
        }
    };
    dialect.readAnswer = [](int status, const HttpFields &fields) {
        AnswerHead head;
        head.status = status;
        head.reason = "R";
        head.requestId = std::string(fields["Id"]);
        head.isStamped = fields.count("Stamp") > 0;
        head.isNotExecuted = fields.count("Refused") > 0;
        head.isEncoded = fields.count("Content-Encoding") > 0;
        head.passedOn = "Stamp: " + std::string(fields["Stamp"]) + "\r\n";
        return head;
    };
    return dialect;
}

namespace {

using std::chrono::milliseconds;
using Then = ScriptedAnswer::Then;

std::string answer(const std::string &id, const std::string &body, int status = 200,
                   const std::string &extra = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\nStamp: s\r\n" + extra
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string eventChunk(int number)
{
    const std::string event = "id: " + std::to_string(number) + "\ndata: d\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

/// One caller and a few scripted servers around the traffic core, on one thread.
class ExchangeTest : public ::testing::Test
{
protected:
    ExchangeTest()
        : m_state(m_context, plainDialect(), settings(), 1)
        , m_acceptor(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        m_state.configAge = [this] { return m_age; };
        m_state.budget.setLimits({0.2, 1000, std::chrono::seconds(10), 1});
        m_state.ticker.start();
        put(RequestKind::Safe, false);
    }

    static TrafficSettings settings()
    {
        TrafficSettings result;
        result.dataCentre = DataCentreId("here");
        return result;
    }

    void put(RequestKind kind, bool isResumable, Duration timeout = std::chrono::seconds(5),
             Duration target = std::chrono::seconds(2), int mostBackends = 2)
    {
        RoutingConfig config;
        Route route;
        route.name = "r";
        route.host = "h";
        route.pathPrefix = "/a/";
        route.kind = kind;
        route.isResumable = isResumable;
        route.timeout = timeout;
        route.targetLatency = target;
        route.longestPause = std::chrono::seconds(1);
        route.mostBackends = mostBackends;
        route.split = {{ServiceId("s"), 1}};
        config.routes = {route};
        config.customers = {{CustomerId("c"), {"k"}, std::nullopt, false}};
        m_state.table = std::make_shared<const RouteTable>(config);
    }

    ScriptedBackend &serve(ScriptedBackend::Script script)
    {
        m_backends.push_back(std::make_unique<ScriptedBackend>(m_context, std::move(script)));
        BackendEntry entry;
        entry.id = EngineId("e" + std::to_string(m_backends.size()));
        entry.service = ServiceId("s");
        entry.endpoint = m_backends.back()->endpoint();
        // The first is the nearest, so that the order of tries is known.
        entry.dataCentre = DataCentreId(m_backends.size() == 1 ? "here" : "there");
        entry.slots = 8;
        m_entries.push_back(entry);
        m_state.book.setBackends(m_entries);
        return *m_backends.back();
    }

    static std::string request(const std::string &id, const std::string &path = "/a/x")
    {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: " + id
               + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    void connect()
    {
        m_caller = std::make_unique<Tcp::socket>(m_context);
        m_caller->connect(m_acceptor.local_endpoint());
        std::make_shared<CallerSession>(m_state, m_acceptor.accept())->start();
    }

    void send(const std::string &bytes) { asio::write(*m_caller, asio::buffer(bytes)); }

    /// Reads an answer from the caller's connection. @return its status; 0 if it ended early
    int receive(std::string *body = nullptr)
    {
        http::response_parser<http::string_body> parser;
        ErrorCode error;
        bool isDone = false;
        http::async_read(*m_caller, m_buffer, parser, [&](const ErrorCode &failed, std::size_t) {
            error = failed;
            isDone = true;
        });
        runUntil([&] { return isDone; });
        m_body = parser.get().body();
        if (body != nullptr) {
            *body = m_body;
        }
        return error ? 0 : static_cast<int>(parser.get().result_int());
    }

    int ask(const std::string &id, std::string *body = nullptr)
    {
        connect();
        send(request(id));
        return receive(body);
    }

    void runUntil(const std::function<bool()> &condition)
    {
        while (!condition()) {
            m_context.run_one();
        }
    }

    asio::io_context m_context;
    TrafficState m_state;
    Tcp::acceptor m_acceptor;
    Duration m_age{};
    std::vector<std::unique_ptr<ScriptedBackend>> m_backends;
    std::vector<BackendEntry> m_entries;
    std::unique_ptr<Tcp::socket> m_caller;
    boost::beast::flat_buffer m_buffer;
    std::string m_body;
};

ScriptedAnswer good(const SeenRequest &seen)
{
    return {answer(seen.fields.at("Id"), "body"), Then::KeepOpen};
}

ScriptedAnswer refused(const SeenRequest &seen)
{
    return {answer(seen.fields.at("Id"), "", 503, "Refused: 1\r\n"), Then::KeepOpen};
}

TEST_F(ExchangeTest, PassesTheWholeAnswerAndReusesTheConnection)
{
    auto &backend = serve(good);
    std::string body;
    EXPECT_EQ(ask("1", &body), 200);
    EXPECT_EQ(body, "body");
    send(request("2"));
    EXPECT_EQ(receive(), 200);
    ASSERT_EQ(backend.seen.size(), 2U);
    EXPECT_EQ(backend.seen[1].connection, 1);
    EXPECT_EQ(backend.seen[0].body, "hi");
    EXPECT_EQ(backend.seen[0].fields.at("Expect-Engine"), "e1");
    EXPECT_EQ(backend.seen[0].fields.at("Customer"), "c");
    EXPECT_FALSE(backend.seen[0].fields.contains("Key"));
}

TEST_F(ExchangeTest, ARequestThatAServerRefusedGoesToAnotherOne)
{
    put(RequestKind::Unsafe, false);
    serve(refused);
    auto &second = serve(good);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(second.seen.size(), 1U);
}

TEST_F(ExchangeTest, WhenAllServersRefuseTheCallerHearsThatItDidNotRun)
{
    put(RequestKind::Unsafe, false);
    serve(refused);
    serve(refused);
    EXPECT_EQ(ask("1"), 503);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
}

// A booking's connection is reset after the request went out. It may have run: sent again, two
// brands could have one panel; called "not run", the caller would send it again itself.
TEST_F(ExchangeTest, ALostRequestThatMayNotRepeatIsNeitherSentAgainNorCalledNotRun)
{
    put(RequestKind::Unsafe, false);
    serve([](const SeenRequest &) { return ScriptedAnswer{"", Then::Reset}; });
    auto &second = serve(good);
    EXPECT_EQ(ask("1"), 502);
    EXPECT_TRUE(second.seen.empty());
    EXPECT_NE(m_body.find(R"("ran":"unknown")"), std::string::npos);
}

TEST_F(ExchangeTest, ALostRequestThatMayRepeatIsSentAgain)
{
    serve([](const SeenRequest &) { return ScriptedAnswer{"", Then::Reset}; });
    serve(good);
    EXPECT_EQ(ask("1"), 200);
}

TEST_F(ExchangeTest, AFailureOfEveryServerIsPassedOnAsItWasGiven)
{
    const auto fails = [](const SeenRequest &seen) {
        return ScriptedAnswer{answer(seen.fields.at("Id"), "broken", 500), Then::KeepOpen};
    };
    serve(fails);
    serve(fails);
    EXPECT_EQ(ask("1"), 500);
    EXPECT_EQ(m_body, "broken");
}

// An engine crashes in the middle of an event. The caller has to get every event once, in order.
TEST_F(ExchangeTest, ABrokenStreamGoesOnBehindTheLastWholeEvent)
{
    put(RequestKind::Stream, true);
    serve([](const SeenRequest &seen) {
        return ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(1) + eventChunk(2)
                                      + "5\r\nid: 3\r\n",
                              Then::Reset};
    });
    auto &second = serve([](const SeenRequest &seen) {
        return ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(3) + "0\r\n\r\n",
                              Then::KeepOpen};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\nid: 2\ndata: d\n\nid: 3\ndata: d\n\n");
    ASSERT_EQ(second.seen.size(), 1U);
    EXPECT_EQ(second.seen[0].fields.at("Resume"), "2");
}

// An engine is lost under overload, and the others refuse what comes: the caller has half of an
// answer and would lose it although an engine has room some milliseconds later.
TEST_F(ExchangeTest, ABrokenStreamIsTakenUpByAnEngineThatRefusedAtFirst)
{
    put(RequestKind::Stream, true);
    serve([](const SeenRequest &seen) {
        const bool isFirst = !seen.fields.contains("Resume");
        return isFirst ? ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(1),
                                        Then::Reset}
                       : refused(seen);
    });
    int asked = 0;
    serve([&asked](const SeenRequest &seen) {
        return ++asked <= 2 ? refused(seen)
                            : ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(2)
                                                     + "0\r\n\r\n",
                                             Then::KeepOpen};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\nid: 2\ndata: d\n\n");
}

// The stream's engine is gone and the stream may not run twice. An end that looks complete would
// give the caller half a campaign text as the whole.
TEST_F(ExchangeTest, ABrokenStreamThatMayNotRepeatDoesNotLookWhole)
{
    put(RequestKind::Stream, false);
    serve([](const SeenRequest &seen) {
        return ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(1), Then::Close};
    });
    EXPECT_EQ(ask("1"), 0);
}

// A server answers a former request a second time, just as the next request comes in.
TEST_F(ExchangeTest, AnAnswerToAnotherRequestIsNotGivenToThisCaller)
{
    auto &backend = serve([](const SeenRequest &seen) {
        const std::string &id = seen.fields.at("Id");
        return ScriptedAnswer{answer("other", "foreign") + answer(id, "own"), Then::KeepOpen};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "own");
    send(request("2"));
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(backend.seen[1].connection, 2) << "a connection in doubt is not used again";
}

TEST_F(ExchangeTest, BytesBehindAnAnswerEndTheConnection)
{
    auto &backend = serve([](const SeenRequest &seen) {
        return ScriptedAnswer{answer(seen.fields.at("Id"), "own") + "junk", Then::KeepOpen};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "own");
    send(request("2"));
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(backend.seen[1].connection, 2);
}

TEST_F(ExchangeTest, AnAnswerThatEndsWithItsConnectionIsWhole)
{
    serve([](const SeenRequest &seen) {
        return ScriptedAnswer{"HTTP/1.1 200 OK\r\nId: " + seen.fields.at("Id")
                                      + "\r\nStamp: s\r\n\r\nunframed",
                              Then::Close};
    });
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "unframed");
}

TEST_F(ExchangeTest, ACutOrEncodedOrUnstampedAnswerIsNoSuccess)
{
    put(RequestKind::Unsafe, false);
    serve([](const SeenRequest &seen) {
        const std::string &id = seen.fields.at("Id");
        if (id == "cut") {
            return ScriptedAnswer{answer(id, "body").substr(0, 58), Then::Close};
        }
        if (id == "encoded") {
            return ScriptedAnswer{answer(id, "body", 200, "Content-Encoding: gzip\r\n"),
                                  Then::Close};
        }
        return ScriptedAnswer{"HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n",
                              Then::Close};
    });
    for (const char *id : {"cut", "encoded", "unstamped"}) {
        m_buffer.clear();
        EXPECT_EQ(ask(id), 502) << id;
    }
}

// A caller closes its connection while an engine works for it. The engine's slot is wanted by
// others.
TEST_F(ExchangeTest, WhenTheCallerLeavesTheServerIsToldAtOnce)
{
    put(RequestKind::Stream, false);
    auto &backend = serve([](const SeenRequest &) { return ScriptedAnswer{"", Then::Silence}; });
    connect();
    send(request("1"));
    runUntil([&] { return backend.seen.size() == 1; });
    m_caller->close();
    runUntil([&] { return backend.closedByPeer == 1; });
    EXPECT_EQ(backend.seen.size(), 1U);
}

TEST_F(ExchangeTest, ARequestIsAnsweredAtItsRoutesTimeout)
{
    put(RequestKind::Unsafe, false, milliseconds(150));
    auto &backend = serve([](const SeenRequest &) { return ScriptedAnswer{"", Then::Silence}; });
    EXPECT_EQ(ask("1"), 504);
    runUntil([&] { return backend.closedByPeer == 1; });
}

TEST_F(ExchangeTest, AServerThatCanNotBeReachedLeavesTheRequestNotRun)
{
    put(RequestKind::Unsafe, false);
    BackendEntry gone;
    gone.id = EngineId("gone");
    gone.service = ServiceId("s");
    Tcp::acceptor closed(m_context, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    gone.endpoint = {"127.0.0.1", closed.local_endpoint().port()};
    closed.close();
    m_state.book.setBackends({gone});
    EXPECT_EQ(ask("1"), 503);
    EXPECT_NE(m_body.find(R"("ran":"no")"), std::string::npos);
}

// The store that holds the keys can't be reached. A key that was taken away meanwhile must not
// pass, and a caller whose key is good must not hear that it is unknown.
TEST_F(ExchangeTest, WithoutProofOfTheKeysAgeNothingPassesAndNothingIsDenied)
{
    auto &backend = serve(good);
    EXPECT_EQ(ask("1"), 200);
    m_age = std::chrono::seconds(6);
    EXPECT_EQ(ask("2"), 503);
    EXPECT_EQ(backend.seen.size(), 1U);
    m_state.table.reset();
    EXPECT_EQ(ask("3"), 503);
}

TEST_F(ExchangeTest, UnknownRoutesAndKeysAreDenied)
{
    serve(good);
    connect();
    send(request("1", "/b/x"));
    EXPECT_EQ(receive(), 404);
    send("GET /a/ HTTP/1.1\r\nHost: h\r\nKey: other\r\nId: 2\r\n\r\n");
    EXPECT_EQ(receive(), 401);
}

TEST_F(ExchangeTest, MalformedAndOversizedRequestsAreRejected)
{
    connect();
    send("NOT HTTP\r\n\r\n");
    EXPECT_EQ(receive(), 400);
    m_buffer.clear();
    connect();
    send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: "
         "chunked\r\n\r\n0\r\n\r\n");
    EXPECT_EQ(receive(), 400) << "two lengths would let a second request hide in the body";
    m_buffer.clear();
    connect();
    send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n");
    EXPECT_EQ(receive(), 413);
    m_buffer.clear();
    connect();
    send("GET /a/ HTTP/1.1\r\nHost: h\r\nLong: " + std::string(20'000, 'x') + "\r\n\r\n");
    EXPECT_EQ(receive(), 431);
}

// All processes were killed, and clients reach a node that has its configuration and not yet the
// list of servers. It comes some milliseconds later.
TEST_F(ExchangeTest, ANodeThatJustStartedWaitsForItsListOfServers)
{
    connect();
    send(request("1"));
    asio::steady_timer later(m_context, milliseconds(60));
    later.async_wait([this](const ErrorCode &) { serve(good); });
    EXPECT_EQ(receive(), 200);
}

// Beside a change of the configuration engines were crowded, and a stream's first event came after
// nine tenths of a second. The node had broken off by then, although the budget allowed no second
// send: the caller got half of an answer that the engine was about to give as a whole.
TEST_F(ExchangeTest, ASlowServerIsWaitedForIfNoOtherOneMayBeAsked)
{
    put(RequestKind::Stream, true, std::chrono::seconds(5), milliseconds(20));
    m_state.budget.setLimits({0, 0, std::chrono::seconds(10), 1});
    auto &slow = serve([](const SeenRequest &seen) {
        return ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(1) + "0\r\n\r\n",
                              Then::KeepOpen, milliseconds(600)};
    });
    serve(good);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\n");
    EXPECT_EQ(slow.seen.size(), 1U);
}

// A stream broke off and waits to go on at an engine on old weights, whose time runs out meanwhile.
// It would begin there on weights that no request may begin on any more.
TEST_F(ExchangeTest, AResumedStreamIsWithdrawnBeforeTheTimeOfOldWeightsIsOver)
{
    put(RequestKind::Stream, true, std::chrono::seconds(5), std::chrono::seconds(2), 3);
    serve([](const SeenRequest &seen) {
        return ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(1), Then::Close};
    });
    auto &old = serve([](const SeenRequest &) { return ScriptedAnswer{"", Then::Silence}; });
    serve([](const SeenRequest &seen) {
        return ScriptedAnswer{streamHead(seen.fields.at("Id")) + eventChunk(2) + "0\r\n\r\n",
                              Then::KeepOpen};
    });
    const ModelId model("m");
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_entries[i].weights[model] = i == 2 ? 2 : 1;
    }
    m_state.book.setBackends(m_entries);
    const TimePoint now = MonotonicClock::now();
    constexpr Duration Left = milliseconds(2500); // open to choices, soon to be withdrawn from
    const TimePoint namedAt = now + Left - m_state.settings.rates.oldWeightsPeriod;
    m_state.book.weightsAnnounced({model, {2, namedAt, namedAt}}, DateGrounds::Read, now);
    m_state.book.startedLoading(EngineId("e3"), now + Left / 2);
    connect();
    send("POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nModel: m\r\nId: 1\r\nContent-Length: "
         "2\r\n\r\nhi");
    EXPECT_EQ(receive(), 200);
    EXPECT_EQ(m_body, "id: 1\ndata: d\n\nid: 2\ndata: d\n\n");
    EXPECT_EQ(old.seen.size(), 1U);
    EXPECT_EQ(old.closedByPeer, 1);
}

// The first engine crashed and the second one is slow; the route allows no third.
TEST_F(ExchangeTest, TheLastServerThatTheRouteAllowsIsWaitedFor)
{
    put(RequestKind::Safe, false, std::chrono::seconds(5), milliseconds(20));
    serve([](const SeenRequest &) { return ScriptedAnswer{"", Then::Reset}; });
    const auto late = [](const SeenRequest &seen) {
        return ScriptedAnswer{answer(seen.fields.at("Id"), "late"), Then::KeepOpen,
                              milliseconds(600)};
    };
    serve(late); // whichever comes second, the other one is open and must not be asked
    serve(late);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "late");
}

TEST_F(ExchangeTest, ASlowServerIsLeftIfAnotherOneMayBeAsked)
{
    put(RequestKind::Safe, false, std::chrono::seconds(5), milliseconds(20));
    serve([](const SeenRequest &) { return ScriptedAnswer{"", Then::Silence}; });
    serve(good);
    EXPECT_EQ(ask("1"), 200);
    EXPECT_EQ(m_body, "body");
}

TEST_F(ExchangeTest, SecondSendsStayWithinTheBudget)
{
    m_state.budget.setLimits({0, 0, std::chrono::seconds(10), 1});
    serve(refused);
    auto &second = serve(good);
    EXPECT_EQ(ask("1"), 503);
    EXPECT_TRUE(second.seen.empty());
}

} // namespace
} // namespace vanilladyke
