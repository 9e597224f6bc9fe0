#include "vanilladyke/platform/log_client.hpp"

#include <gtest/gtest.h>
#include <httplib.h>
#include <rapidcheck/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace vanilladyke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A loopback port that is bound but not listening, so that connections are refused.
class BoundNotListeningPort
{
public:
    BoundNotListeningPort()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        socklen_t size = sizeof(address);
        EXPECT_EQ(bind(m_socket, generic, size), 0);
        EXPECT_EQ(getsockname(m_socket, generic, &size), 0);
        m_number = ntohs(address.sin_port);
    }
    BoundNotListeningPort(const BoundNotListeningPort &) = delete;
    BoundNotListeningPort &operator=(const BoundNotListeningPort &) = delete;
    ~BoundNotListeningPort() { close(m_socket); }

    [[nodiscard]] std::uint16_t number() const { return m_number; }

private:
    int m_socket;
    std::uint16_t m_number = 0;
};

/// Runs a server on a free loopback port; the test sets its response to appends.
class LogClientTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_server.Post("/v1/logs/bundles/records",
                      [this](const httplib::Request &request, httplib::Response &response) {
                          m_received = request.body;
                          m_answer(response);
                      });
        m_server.Get("/v1/logs/bundles/records",
                     [this](const httplib::Request &request, httplib::Response &response) {
                         m_received = request.get_param_value("from");
                         m_answer(response);
                     });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
    }

    void TearDown() override
    {
        m_server.stop();
        m_thread.join();
    }

    LogClient client() const
    {
        return {{"127.0.0.1", static_cast<std::uint16_t>(m_port)}, "bundles"};
    }

    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
    std::string m_received;
    std::function<void(httplib::Response &)> m_answer;
};

TEST_F(LogClientTest, AppendReturnsTheOffset)
{
    m_answer = [](httplib::Response &response) {
        response.status = 201;
        response.set_content(R"({"offset":7})", "application/json");
    };
    const auto offset = client().append("some bytes", MonotonicClock::now() + seconds(30));
    ASSERT_TRUE(offset.has_value()) << offset.error().detail;
    EXPECT_EQ(*offset, 7U);
    EXPECT_EQ(m_received, "some bytes");
}

TEST_F(LogClientTest, ReadsAPage)
{
    m_answer = [](httplib::Response &response) {
        response.set_content(R"({"first_offset":3,"next_offset":5,"records":[
            {"offset":4,"appended_at_ms":1500,"data":"aGk="}]})",
                             "application/json");
    };
    const auto page = client().read(4, MonotonicClock::now() + seconds(30));
    ASSERT_TRUE(page.has_value()) << page.error().detail;
    EXPECT_EQ(m_received, "4");
    EXPECT_EQ(page->firstOffset, 3U);
    EXPECT_EQ(page->nextOffset, 5U);
    ASSERT_EQ(page->records.size(), 1U);
    EXPECT_EQ(page->records[0].data, "hi");
    EXPECT_EQ(page->records[0].appendedAt, WallTime(milliseconds(1500)));
}

// The log stores the record, but its response is truncated. If this were reported as NotSent, the
// caller would append again, and a booking would run twice.
TEST_F(LogClientTest, ATruncatedResponseLeavesTheAppendUnknown)
{
    m_answer = [](httplib::Response &response) {
        response.status = 201;
        response.set_content_provider(
                64, "application/json",
                [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
    };
    const auto offset = client().append("x", MonotonicClock::now() + seconds(30));
    ASSERT_FALSE(offset.has_value());
    EXPECT_EQ(offset.error().error, LogError::Unanswered);
}

// The log hangs after it stored the record. The call must end at the deadline, and must not report
// that nothing happened.
TEST_F(LogClientTest, AMissingResponseEndsAtTheDeadlineAndLeavesTheAppendUnknown)
{
    // Shared: the server's thread may look at it once more when this function has returned.
    const auto release = std::make_shared<std::atomic<bool>>(false);
    m_answer = [release](httplib::Response &) {
        while (!*release) {
            std::this_thread::sleep_for(milliseconds(1));
        }
    };
    const auto offset = client().append("x", MonotonicClock::now() + milliseconds(200));
    *release = true;
    ASSERT_FALSE(offset.has_value());
    EXPECT_EQ(offset.error().error, LogError::Unanswered);
}

TEST_F(LogClientTest, DistinguishesARefusalFromAnInconclusiveServerError)
{
    m_answer = [](httplib::Response &response) { response.status = 503; };
    EXPECT_EQ(client().append("x", MonotonicClock::now() + seconds(30)).error().error,
              LogError::Refused);
    m_answer = [](httplib::Response &response) { response.status = 502; };
    EXPECT_EQ(client().append("x", MonotonicClock::now() + seconds(30)).error().error,
              LogError::Malformed);
}

// The log refuses connections, as in an outage. The user gets the answer that nothing ran, which is
// only true if no byte was sent.
TEST(LogClient, WithoutAConnectionNothingWasSent)
{
    const BoundNotListeningPort port;
    LogClient client({"127.0.0.1", port.number()}, "bundles");
    const auto offset = client.append("x", MonotonicClock::now() + seconds(30));
    ASSERT_FALSE(offset.has_value());
    EXPECT_EQ(offset.error().error, LogError::NotSent);
}

TEST(LogClient, AfterTheDeadlineNothingIsSent)
{
    LogClient client({"127.0.0.1", 1}, "bundles");
    const auto offset = client.append("x", MonotonicClock::now() - seconds(1));
    ASSERT_FALSE(offset.has_value());
    EXPECT_EQ(offset.error().error, LogError::NotSent);
}

RC_GTEST_PROP(LogClient, RandomBytesAreNoAnswer, (const std::string &bytes))
{
    RC_ASSERT(!parseLogPage(bytes).has_value());
    RC_ASSERT(!parseAppendAnswer(bytes).has_value());
}

TEST(LogClient, AnswersOfTheWrongShapeAreMalformed)
{
    const std::vector<std::string> odd = {
            "",
            "null",
            "[]",
            R"({"offset":"1"})",
            R"({"offset":-1.5})",
            R"({"first_offset":0,"next_offset":1,"records":7})",
            R"({"first_offset":0,"next_offset":1,"records":[null]})",
            R"({"first_offset":0,"next_offset":1,"records":[{"offset":0,"appended_at_ms":0,"data":"?"}]})",
            R"({"first_offset":0,"next_offset":1,"records":[{"offset":0,"appended_at_ms":0,"data":5}]})",
            std::string(100'000, '['),
    };
    for (const std::string &body : odd) {
        EXPECT_FALSE(parseLogPage(body).has_value()) << body.substr(0, 60);
    }
}

} // namespace
} // namespace vanilladyke
