// A plain service's stand-in: books whatever it is sent, and keeps the account that a judge reads.
//
//   ANY  /...             runs the call and answers 201 {"booking": N, "key": KEY}
//   POST /control/faults  {"slow_ms": N, "lose_answers": N, "status": N, "deduplicate": bool}
//        slow_ms: before the run; lose_answers: the next N calls run and their connection breaks
//        off; status: answer this after the run, 0 for 201; deduplicate: run a key only once
//   GET  /control/log     {"started": N, "runs": [{"key", "path", "body", "customer"}]}: calls that
//        came in, and those that ran, in order
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace {

constexpr std::size_t ServerThreads = 256;
constexpr int Created = 201;

struct Faults
{
    std::chrono::milliseconds slow{0};
    unsigned loseAnswers = 0;
    int status = 0;
    bool deduplicate = false;
};

class Service
{
public:
    void run(const httplib::Request &request, httplib::Response &response);
    void setFaults(const nlohmann::json &json);
    [[nodiscard]] std::string log();

private:
    std::mutex m_mutex;
    Faults m_faults;
    unsigned m_started = 0;
    nlohmann::json m_runs = nlohmann::json::array();
    std::map<std::string, std::string> m_answers;
};

void Service::run(const httplib::Request &request, httplib::Response &response)
{
    std::unique_lock lock(m_mutex);
    ++m_started;
    const auto slow = m_faults.slow;
    lock.unlock();
    std::this_thread::sleep_for(slow);
    lock.lock();
    const std::string key = request.get_header_value("Idempotency-Key");
    std::string &answer = m_answers[key];
    if (answer.empty() || !m_faults.deduplicate) {
        m_runs.push_back({{"key", key},
                          {"path", request.path},
                          {"body", request.body},
                          {"customer", request.get_header_value("X-Customer")}});
        answer = nlohmann::json{{"booking", m_runs.size()}, {"key", key}}.dump();
    }
    response.status = m_faults.status == 0 ? Created : m_faults.status;
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        response.set_content_provider(
                64, "application/json",
                [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
        return;
    }
    response.set_content(answer, "application/json");
}

void Service::setFaults(const nlohmann::json &json)
{
    const std::lock_guard lock(m_mutex);
    m_faults.slow = std::chrono::milliseconds(json.value("slow_ms", m_faults.slow.count()));
    m_faults.loseAnswers = json.value("lose_answers", m_faults.loseAnswers);
    m_faults.status = json.value("status", m_faults.status);
    m_faults.deduplicate = json.value("deduplicate", m_faults.deduplicate);
}

std::string Service::log()
{
    const std::lock_guard lock(m_mutex);
    return nlohmann::json{{"started", m_started}, {"runs", m_runs}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stands in for a plain service.", ' ', "0.1.0");
    TCLAP::ValueArg<int> port("", "port", "port on 127.0.0.1", true, 0, "PORT", line);
    line.parse(argc, argv);
    Service service;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
    server.set_tcp_nodelay(true);
    server.Post("/control/faults", [&](const httplib::Request &request, httplib::Response &) {
        service.setFaults(nlohmann::json::parse(request.body));
    });
    server.Get("/control/log", [&](const httplib::Request &, httplib::Response &response) {
        response.set_content(service.log(), "application/json");
    });
    const auto run = [&](const httplib::Request &request, httplib::Response &response) {
        service.run(request, response);
    };
    server.Get(".*", run);
    server.Post(".*", run);
    server.Put(".*", run);
    server.Patch(".*", run);
    server.Delete(".*", run);
    return server.listen("127.0.0.1", port.getValue()) ? EXIT_SUCCESS : EXIT_FAILURE;
}
