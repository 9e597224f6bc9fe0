// A plain service's stand-in: runs every call that reaches it and counts what it ran by key.
//
// Any path answers {"run":N,"key":K,"path":P,"method":M,"bytes":B,"body":TEXT}. POST
// /control/faults takes
// {"delay_ms":T}, {"lose_answers":N} (runs the call, then never answers), {"slow_ms":T} (waits
// before the run), {"deduplicate":B} (runs a key only once) and {"status":S,"count":N}. GET
// /control/log answers {"total":N,"started":N,"by_key":{K:N},"runs":[{"key":K,"body":TEXT}]}.
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <csignal>
#include <map>
#include <mutex>
#include <thread>

namespace {

struct Counts
{
    std::mutex mutex;
    std::map<std::string, unsigned> byKey;
    unsigned total = 0;
    unsigned toLose = 0;
    unsigned toFail = 0;
    int status = 200;
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds slow{0};
    bool deduplicate = false;
    unsigned started = 0;
    nlohmann::json runs = nlohmann::json::array();
};

void answer(httplib::Response &response, const nlohmann::json &body)
{
    response.set_content(body.dump(), "application/json");
}

/// Breaks off in the middle of the answer, so that the caller knows neither yes nor no.
void loseAnswer(httplib::Response &response)
{
    response.set_content_provider(
            1024, "application/json",
            [](std::size_t, std::size_t, httplib::DataSink &) { return false; });
}

void run(Counts &counts, const httplib::Request &request, const std::string &body,
         httplib::Response &response)
{
    std::unique_lock lock(counts.mutex);
    ++counts.started;
    const auto slow = counts.slow;
    lock.unlock();
    std::this_thread::sleep_for(slow);
    lock.lock();
    const std::string key = request.get_header_value("Idempotency-Key");
    unsigned number = counts.total;
    if (!counts.deduplicate || counts.byKey[key] == 0) {
        number = ++counts.total;
        ++counts.byKey[key];
        counts.runs.push_back({{"key", key}, {"body", body}});
    }
    const auto delay = counts.delay;
    const bool lost = counts.toLose > 0 && counts.toLose-- > 0;
    const bool failed = counts.toFail > 0 && counts.toFail-- > 0;
    const int status = failed ? counts.status : 200;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    if (lost) {
        loseAnswer(response);
        return;
    }
    response.status = status;
    answer(response, {{"run", number},
                      {"key", key},
                      {"path", request.target},
                      {"method", request.method},
                      {"customer", request.get_header_value("X-Customer-Id")},
                      {"authorization", request.get_header_value("Authorization")},
                      {"body", body},
                      {"bytes", body.size()}});
}

void setFaults(Counts &counts, const nlohmann::json &faults)
{
    const std::lock_guard lock(counts.mutex);
    counts.delay = std::chrono::milliseconds(faults.value("delay_ms", counts.delay.count()));
    counts.slow = std::chrono::milliseconds(faults.value("slow_ms", counts.slow.count()));
    counts.deduplicate = faults.value("deduplicate", counts.deduplicate);
    counts.toLose = faults.value("lose_answers", counts.toLose);
    counts.status = faults.value("status", counts.status);
    counts.toFail = faults.value("count", counts.toFail);
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stands in for a plain service.", ' ', "0.1.0");
    TCLAP::ValueArg<int> port("", "port", "port on 127.0.0.1", true, 0, "PORT", line);
    line.parse(argc, argv);
    Counts counts;
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(256); };
    server.set_tcp_nodelay(true);
    server.set_socket_options([](int socket) {
        const int yes = 1; // not the library's SO_REUSEPORT: two tests must not share a port
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    });
    const auto handle = [&](const httplib::Request &in, httplib::Response &out) {
        run(counts, in, "", out);
    };
    // Read as bytes: the library would take multipart forms apart.
    const auto handleBody = [&](const httplib::Request &in, httplib::Response &out,
                                const httplib::ContentReader &reader) {
        const_cast<httplib::Request &>(in).headers.erase("Content-Type");
        std::string body;
        reader([&](const char *data, std::size_t size) {
            body.append(data, size);
            return true;
        });
        run(counts, in, body, out);
    };
    // With a reader as well: the library asks handlers without one only after those with one, and
    // ".*" below would run the order as a call.
    server.Post("/control/faults", [&](const httplib::Request &, httplib::Response &out,
                                       const httplib::ContentReader &reader) {
        std::string body;
        reader([&](const char *data, std::size_t size) {
            body.append(data, size);
            return true;
        });
        setFaults(counts, nlohmann::json::parse(body));
        answer(out, {{"set", true}});
    });
    server.Get("/control/log", [&](const httplib::Request &, httplib::Response &out) {
        const std::lock_guard lock(counts.mutex);
        answer(out, {{"total", counts.total},
                     {"started", counts.started},
                     {"by_key", counts.byKey},
                     {"runs", counts.runs}});
    });
    server.Get(".*", handle);
    server.Post(".*", handleBody);
    server.Put(".*", handleBody);
    server.Delete(".*", handle);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([&] {
        int signal = 0;
        sigwait(&signals, &signal);
        server.stop();
    }).detach();
    return server.listen("127.0.0.1", port.getValue()) ? EXIT_SUCCESS : EXIT_FAILURE;
}
