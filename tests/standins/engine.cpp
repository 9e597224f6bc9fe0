// A model engine's stand-in: OpenAI-compatible streams whose tokens follow from the prompt, so that
// a judge can tell a foreign or reordered answer.
//
// Token I of a prompt is the CRC-32 of "C:I" in eight hexadecimal digits and a space, where C is
// the CRC-32 of all message contents run together, as a decimal number.
#include <boost/crc.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

namespace {

std::uint32_t crc(const std::string &text)
{
    boost::crc_32_type sum;
    sum.process_bytes(text.data(), text.size());
    return sum.checksum();
}

std::string tokenAt(std::uint32_t promptSum, unsigned index)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%08x ",
                  crc(std::to_string(promptSum) + ":" + std::to_string(index)));
    return text.data();
}

std::string promptOf(const nlohmann::json &body)
{
    if (body.contains("prompt")) {
        return body["prompt"];
    }
    std::string prompt;
    for (const auto &message : body.at("messages")) {
        prompt += message.at("content").get<std::string>();
    }
    return prompt;
}

struct Engine
{
    std::string id;
    std::string model;
    std::string weights;
    std::uint64_t incarnation = 1;
    std::chrono::milliseconds perToken{5};
    std::atomic<unsigned> running{0};

    void complete(const httplib::Request &request, httplib::Response &response);
    [[nodiscard]] std::string state() const;
};

void Engine::complete(const httplib::Request &request, httplib::Response &response)
{
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const unsigned last = body.value("max_tokens", 16U);
    const std::uint32_t sum = crc(promptOf(body));
    const bool chat = request.path == "/v1/chat/completions";
    response.set_header("X-Engine-Id", id);
    response.set_header("X-Incarnation", std::to_string(incarnation));
    response.set_header("X-Weights-Version", weights);
    response.set_header("X-Attempt-Id", request.get_header_value("X-Attempt-Id"));
    auto next = std::make_shared<unsigned>(
            std::stoul("0" + request.get_header_value("X-Resume-Offset")));
    ++running;
    response.set_chunked_content_provider(
            "text/event-stream",
            [=, this](std::size_t, httplib::DataSink &sink) {
                if (*next >= last) {
                    sink.write("data: [DONE]\n\n", 14);
                    sink.done();
                    return true;
                }
                std::this_thread::sleep_for(perToken);
                const std::string token = tokenAt(sum, *next);
                ++*next;
                nlohmann::json choice{{"index", 0}};
                if (chat) {
                    choice["delta"] = {{"content", token}};
                } else {
                    choice["text"] = token;
                }
                const nlohmann::json chunk{{"choices", {choice}}};
                const std::string event =
                        "id: " + std::to_string(*next) + "\ndata: " + chunk.dump() + "\n\n";
                return sink.write(event.data(), event.size());
            },
            [this](bool) { --running; });
}

std::string Engine::state() const
{
    const nlohmann::json json{
            {"engine", id},
            {"incarnation", incarnation},
            {"models", {{{"id", model}, {"weights", weights}}}},
            {"running", running.load()},
            {"waiting", 0},
            {"queued_prefill_tokens", 0},
            {"prefill_tokens_per_second", 10000.0},
            {"decode_tokens_per_second", 200.0},
    };
    return json.dump();
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Stands in for a model engine.", ' ', "0.1.0");
    TCLAP::ValueArg<int> port("", "port", "port on 127.0.0.1", true, 0, "PORT", line);
    TCLAP::ValueArg<std::string> id("", "id", "engine id", true, "", "ID", line);
    TCLAP::ValueArg<std::string> model("", "model", "model held", false, "copy", "ID", line);
    TCLAP::ValueArg<std::string> weights("", "weights", "weights held", false, "w1", "VERSION",
                                         line);
    line.parse(argc, argv);
    Engine engine;
    engine.id = id.getValue();
    engine.model = model.getValue();
    engine.weights = weights.getValue();
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(128); };
    server.set_tcp_nodelay(true);
    const auto complete = [&](const httplib::Request &request, httplib::Response &response) {
        engine.complete(request, response);
    };
    server.Post("/v1/chat/completions", complete);
    server.Post("/v1/completions", complete);
    server.Get("/v1/state", [&](const httplib::Request &, httplib::Response &response) {
        response.set_content(engine.state(), "application/json");
    });
    return server.listen("127.0.0.1", port.getValue()) ? EXIT_SUCCESS : EXIT_FAILURE;
}
