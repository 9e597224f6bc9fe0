// The platform's stand-in: the append-only log, and the host list.
//
// Two ports: --port speaks the platform's protocols; --control takes orders from a test and answers
// whatever fault is on:
//   POST /control/faults  {"outage": "none" | "refuse" | "unavailable", "slow_ms": N,
//                          "lose_answers": N, "retention_records": N, "retention_ms": N}
//        refuse: no connection is taken; unavailable: 503 to everything; lose_answers: the next N
//        appends take effect, and their answers break off. A field that is left out stays as it is.
//   POST /control/hosts   {"hosts": [...]}  what GET /v1/hosts gives from now on
//   GET  /control/state   {"streams": {NAME: records ever appended}}
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <tclap/CmdLine.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace {

using Clock = std::chrono::system_clock;
using std::chrono::milliseconds;

constexpr std::size_t PageBytes = 4U << 20U;
constexpr std::size_t ServerThreads = 192;
constexpr std::uint64_t Unbounded = 1'000'000'000;

struct Record
{
    std::uint64_t offset;
    Clock::time_point appendedAt;
    std::string data;
};

struct Stream
{
    std::uint64_t nextOffset = 0;
    std::deque<Record> records;
};

struct Faults
{
    std::string outage = "none";
    milliseconds slow{0};
    std::uint64_t loseAnswers = 0;
    std::uint64_t retentionRecords = Unbounded;
    milliseconds retention{Unbounded};
};

std::string base64(const std::string &data)
{
    std::string text(sodium_base64_encoded_len(data.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(),
                      reinterpret_cast<const unsigned char *>(data.data()), data.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

std::uint64_t numberOf(const httplib::Request &request, const char *name, std::uint64_t otherwise)
{
    return request.has_param(name) ? std::stoull(request.get_param_value(name)) : otherwise;
}

void answerJson(httplib::Response &response, const nlohmann::json &json, int status = 200)
{
    response.status = status;
    response.set_content(json.dump(), "application/json");
}

class Platform
{
public:
    void addRoutes(httplib::Server &server);
    void addControls(httplib::Server &server);
    void serve(int port);

private:
    void append(const httplib::Request &request, httplib::Response &response);
    void read(const httplib::Request &request, httplib::Response &response);
    void setFaults(const nlohmann::json &json);
    void expire(Stream &stream) const;
    bool gate(httplib::Response &response);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams;
    nlohmann::json m_hosts = nlohmann::json::array();
    Faults m_faults;
};

void Platform::expire(Stream &stream) const
{
    const Clock::time_point oldest = Clock::now() - m_faults.retention;
    while (!stream.records.empty()
           && (stream.records.size() > m_faults.retentionRecords
               || stream.records.front().appendedAt < oldest)) {
        stream.records.pop_front();
    }
}

/// Applies slowness and outage; false if the call has been answered already.
bool Platform::gate(httplib::Response &response)
{
    std::unique_lock lock(m_mutex);
    const milliseconds slow = m_faults.slow;
    lock.unlock();
    std::this_thread::sleep_for(slow);
    lock.lock();
    if (m_faults.outage != "none") {
        answerJson(response, {{"error", "unavailable"}}, 503);
        return false;
    }
    return true;
}

void Platform::append(const httplib::Request &request, httplib::Response &response)
{
    const std::lock_guard lock(m_mutex);
    Stream &stream = m_streams[request.matches[1]];
    const std::uint64_t offset = stream.nextOffset++;
    stream.records.push_back({offset, Clock::now(), request.body});
    expire(stream);
    m_changed.notify_all();
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        response.status = 201;
        response.set_content_provider(
                64, "application/json",
                [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        return;
    }
    answerJson(response, {{"offset", offset}}, 201);
}

void Platform::read(const httplib::Request &request, httplib::Response &response)
{
    const std::uint64_t from = numberOf(request, "from", 0);
    const std::uint64_t limit = numberOf(request, "limit", 100);
    const auto until = Clock::now() + milliseconds(numberOf(request, "wait_ms", 0));
    std::unique_lock lock(m_mutex);
    Stream &stream = m_streams[request.matches[1]];
    m_changed.wait_until(lock, until,
                         [&] { return stream.nextOffset > from || m_faults.outage != "none"; });
    if (m_faults.outage != "none") {
        answerJson(response, {{"error", "unavailable"}}, 503);
        return;
    }
    expire(stream);
    nlohmann::json records = nlohmann::json::array();
    std::size_t bytes = 0;
    for (const Record &record : stream.records) {
        if (record.offset < from) {
            continue;
        }
        if (records.size() >= limit || bytes >= PageBytes) {
            break;
        }
        const auto at =
                std::chrono::duration_cast<milliseconds>(record.appendedAt.time_since_epoch());
        records.push_back({{"offset", record.offset},
                           {"appended_at_ms", at.count()},
                           {"data", base64(record.data)}});
        bytes += record.data.size();
    }
    const std::uint64_t first =
            stream.records.empty() ? stream.nextOffset : stream.records.front().offset;
    answerJson(response,
               {{"first_offset", first}, {"next_offset", stream.nextOffset}, {"records", records}});
}

void Platform::setFaults(const nlohmann::json &json)
{
    const std::lock_guard lock(m_mutex);
    m_faults.outage = json.value("outage", m_faults.outage);
    m_faults.slow = milliseconds(json.value("slow_ms", m_faults.slow.count()));
    m_faults.loseAnswers = json.value("lose_answers", m_faults.loseAnswers);
    m_faults.retentionRecords = json.value("retention_records", m_faults.retentionRecords);
    m_faults.retention = milliseconds(json.value("retention_ms", m_faults.retention.count()));
    m_changed.notify_all();
}

void Platform::addRoutes(httplib::Server &server)
{
    server.Post(R"(/v1/logs/([\w.-]+)/records)",
                [this](const httplib::Request &request, httplib::Response &response) {
                    if (gate(response)) {
                        append(request, response);
                    }
                });
    server.Get(R"(/v1/logs/([\w.-]+)/records)",
               [this](const httplib::Request &request, httplib::Response &response) {
                   if (gate(response)) {
                       read(request, response);
                   }
               });
    server.Get("/v1/hosts", [this](const httplib::Request &, httplib::Response &response) {
        if (gate(response)) {
            const std::lock_guard lock(m_mutex);
            answerJson(response, {{"hosts", m_hosts}});
        }
    });
}

void Platform::addControls(httplib::Server &server)
{
    server.Post("/control/faults",
                [this](const httplib::Request &request, httplib::Response &response) {
                    setFaults(nlohmann::json::parse(request.body));
                    answerJson(response, nlohmann::json::object());
                });
    server.Post("/control/hosts",
                [this](const httplib::Request &request, httplib::Response &response) {
                    const std::lock_guard lock(m_mutex);
                    m_hosts = nlohmann::json::parse(request.body).at("hosts");
                    answerJson(response, nlohmann::json::object());
                });
    server.Get("/control/state", [this](const httplib::Request &, httplib::Response &response) {
        const std::lock_guard lock(m_mutex);
        nlohmann::json streams = nlohmann::json::object();
        for (const auto &[name, stream] : m_streams) {
            streams[name] = stream.nextOffset;
        }
        answerJson(response, {{"streams", streams}});
    });
}

/// Listens whenever connections are not to be refused; a refusal closes the listening socket.
void Platform::serve(int port)
{
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [this] { return m_faults.outage != "refuse"; });
        }
        httplib::Server server;
        server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
        server.set_tcp_nodelay(true);
        addRoutes(server);
        std::atomic<bool> ended = false;
        std::thread watcher([&] {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock, [&] { return ended || m_faults.outage == "refuse"; });
            server.stop();
        });
        server.listen("127.0.0.1", port);
        {
            const std::lock_guard lock(m_mutex);
            ended = true;
            m_changed.notify_all();
        }
        watcher.join();
        std::this_thread::sleep_for(milliseconds(5));
    }
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stands in for the platform's services.", ' ', "0.1.0");
    TCLAP::ValueArg<int> port("", "port", "port on 127.0.0.1", true, 0, "PORT", line);
    TCLAP::ValueArg<int> control("", "control", "port for the test", true, 0, "PORT", line);
    line.parse(argc, argv);
    Platform platform;
    httplib::Server controls;
    platform.addControls(controls);
    std::thread controlThread([&] { controls.listen("127.0.0.1", control.getValue()); });
    platform.serve(port.getValue());
    controlThread.join();
    return EXIT_SUCCESS;
}
