// Measures what a node adds to a call: clients ask an engine directly and through the node by
// turns, in one run, so that both meet the same machine.
#include "vanilladyke/model/ids.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using Span = std::chrono::duration<double, std::milli>;

struct Options
{
    int engine = 0;
    int node = 0;
    int pid = 0;
    unsigned clients = 0;
    unsigned seconds = 0;
    unsigned tokens = 0;
    unsigned promptBytes = 0;
};

/// First-token times of whole answers, and how many answers were not whole.
struct Tally
{
    std::vector<Span> firstToken;
    unsigned failed = 0;

    void add(const Tally &other)
    {
        firstToken.insert(firstToken.end(), other.firstToken.begin(), other.firstToken.end());
        failed += other.failed;
    }
};

std::string bodyOf(const Options &options, const std::string &prompt)
{
    const nlohmann::json body{{"model", "copy"},
                              {"stream", true},
                              {"max_tokens", options.tokens},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    return body.dump();
}

void ask(int port, const std::string &body, Tally &tally)
{
    httplib::Client client("127.0.0.1", port);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(std::chrono::seconds(20));
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = body;
    const std::string id = vanilladyke::newUuid();
    request.headers = {{"Authorization", "Bearer load-key"},
                       {"X-Stream-Id", id},
                       {"X-Attempt-Id", id},
                       {"X-Request-Id", id}};
    std::string answer;
    const Clock::time_point begun = Clock::now();
    Clock::time_point first{};
    request.content_receiver = [&](const char *data, std::size_t size, std::uint64_t,
                                   std::uint64_t) {
        answer.append(data, size);
        if (first == Clock::time_point{} && answer.find("\"content\"") != std::string::npos) {
            first = Clock::now();
        }
        return true;
    };
    const httplib::Result result = client.send(request);
    const bool whole =
            result && result->status == 200 && answer.find("data: [DONE]") != std::string::npos;
    if (whole) {
        tally.firstToken.emplace_back(first - begun);
    } else {
        ++tally.failed;
    }
}

/// Processor time of a process so far, in seconds.
double cpuSeconds(int pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(in)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::vector<std::string> all((std::istream_iterator<std::string>(fields)), {});
    constexpr std::size_t UserTime = 11;
    constexpr std::size_t SystemTime = 12;
    const double ticks = std::stod(all.at(UserTime)) + std::stod(all.at(SystemTime));
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double percentile(std::vector<Span> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)].count();
}

void print(const char *name, Tally &tally)
{
    std::printf("%-8s whole=%zu failed=%u first_token_ms p50=%.3f p99=%.3f\n", name,
                tally.firstToken.size(), tally.failed, percentile(tally.firstToken, 0.5),
                percentile(tally.firstToken, 0.99));
}

/// One client's calls; without an engine's port only the node is asked.
void runClient(const Options &options, unsigned number, Clock::time_point end, Tally &direct,
               Tally &through)
{
    for (unsigned turn = 0; Clock::now() < end; ++turn) {
        std::string prompt = "client " + std::to_string(number) + " turn " + std::to_string(turn);
        prompt.resize(std::max<std::size_t>(prompt.size(), options.promptBytes), '.');
        const std::string body = bodyOf(options, prompt);
        if (options.engine != 0) {
            ask(options.engine, body, direct);
        }
        ask(options.node, body, through);
    }
}

} // namespace

int main(int argc, char **argv)
{
    using Number = TCLAP::ValueArg<unsigned>;
    TCLAP::CmdLine line("Measures what a node adds to a call.", ' ', "0.1.0");
    Number engine("", "engine", "the engine's port, asked directly by turns", false, 0, "PORT",
                  line);
    Number node("", "node", "the node's port", true, 0, "PORT", line);
    Number pid("", "pid", "the node's process, for its processor time", true, 0, "PID", line);
    Number clients("", "clients", "callers at once", false, 8, "N", line);
    Number seconds("", "seconds", "length of the run", false, 10, "S", line);
    Number tokens("", "tokens", "tokens of an answer", false, 16, "N", line);
    Number promptBytes("", "prompt-bytes", "size of a prompt", false, 4096, "N", line);
    line.parse(argc, argv);
    const Options options{static_cast<int>(engine.getValue()),
                          static_cast<int>(node.getValue()),
                          static_cast<int>(pid.getValue()),
                          clients.getValue(),
                          seconds.getValue(),
                          tokens.getValue(),
                          promptBytes.getValue()};
    const double cpuBefore = cpuSeconds(options.pid);
    const Clock::time_point begun = Clock::now();
    const Clock::time_point end = begun + std::chrono::seconds(options.seconds);
    std::mutex mutex;
    Tally direct;
    Tally through;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < options.clients; ++i) {
        threads.emplace_back([&, i] {
            Tally ownDirect;
            Tally ownThrough;
            runClient(options, i, end, ownDirect, ownThrough);
            const std::lock_guard lock(mutex);
            direct.add(ownDirect);
            through.add(ownThrough);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    const double cpu = cpuSeconds(options.pid) - cpuBefore;
    const double took = std::chrono::duration<double>(Clock::now() - begun).count();
    print("node", through);
    if (options.engine != 0) {
        print("direct", direct);
        std::printf("added    first_token_ms p50=%.3f p99=%.3f\n",
                    percentile(through.firstToken, 0.5) - percentile(direct.firstToken, 0.5),
                    percentile(through.firstToken, 0.99) - percentile(direct.firstToken, 0.99));
    }
    const auto answers = static_cast<double>(through.firstToken.size());
    std::printf("node     requests_per_s=%.0f cpu_s=%.2f requests_per_core_s=%.0f "
                "tokens_per_core_s=%.0f\n",
                answers / took, cpu, answers / cpu, answers * options.tokens / cpu);
    return through.failed + direct.failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
