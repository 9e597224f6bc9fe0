#include "vanilladyke/control/engine_poller.hpp"

#include "vanilladyke/base/log.hpp"
#include "vanilladyke/model/foreign_json.hpp"
#include "vanilladyke/platform/http_call.hpp"

#include <nlohmann/json.hpp>

namespace vanilladyke {

namespace {

/// Placement by older load reports costs more than the 10 small requests a second for each engine.
constexpr Duration PollInterval = std::chrono::milliseconds(100);
constexpr Duration AnswerTimeout = std::chrono::milliseconds(700);
/// Of a report or a page of the cache feed; all engines are read at the same time.
constexpr std::uint64_t MaxAnswerBytes = 1U << 20U;

std::vector<HeldModel> parseModels(const nlohmann::json &list)
{
    std::vector<HeldModel> models;
    for (const auto &item : list) {
        HeldModel model{ModelId(item.at("id")), WeightsVersion(item.at("weights")), {}};
        for (const auto &adapter : item.value("adapters", nlohmann::json::array())) {
            model.adapters.emplace_back(adapter.get<std::string>());
        }
        models.push_back(std::move(model));
    }
    return models;
}

EngineReported parseReport(const EngineId &engine, const std::string &body, TimePoint now)
{
    const nlohmann::json json = parseForeignJson(body);
    EngineReported report;
    report.engine = engine;
    report.incarnation = Incarnation{json.at("incarnation").get<std::uint64_t>()};
    report.held = parseModels(json.at("models"));
    report.loading = parseModels(json.value("loading", nlohmann::json::array()));
    report.load.measuredAt = now;
    report.load.running = json.at("running");
    report.load.waiting = json.at("waiting");
    report.load.queuedPrefillTokens = json.at("queued_prefill_tokens");
    report.load.prefillTokensPerSecond = json.at("prefill_tokens_per_second");
    report.load.decodeTokensPerSecond = json.at("decode_tokens_per_second");
    return report;
}

CacheEventsRead parseCacheEvents(const EngineId &engine, const std::string &body)
{
    const nlohmann::json json = parseForeignJson(body);
    CacheEventsRead page;
    page.engine = engine;
    page.incarnation = Incarnation{json.at("incarnation").get<std::uint64_t>()};
    page.first = json.at("first");
    page.next = json.at("next");
    for (const auto &item : json.at("events")) {
        CacheEvent event;
        event.sequence = item.at("seq");
        event.kind = item.at("kind") == "stored" ? CacheEventKind::Stored : CacheEventKind::Evicted;
        if (parseChainHash(item.at("hash").get<std::string>(), &event.hash)) {
            page.events.push_back(event);
        }
    }
    return page;
}

/// Read position in an engine's cache feed.
struct FeedPosition
{
    Incarnation incarnation{};
    std::uint64_t after = 0;
};

/// Reads the next page of the cache feed. A malformed answer is skipped: the gap shows in the next.
std::optional<CacheEventsRead> readCacheEvents(HttpCaller &client, const EngineId &engine,
                                               FeedPosition &position)
{
    const std::string path =
            "/v1/cache_events?after=" + std::to_string(position.after)
            + "&incarnation=" + std::to_string(static_cast<std::uint64_t>(position.incarnation));
    const auto answer = client.get(path, MonotonicClock::now() + AnswerTimeout);
    if (!answer || answer->status != 200) {
        return std::nullopt;
    }
    try {
        CacheEventsRead page = parseCacheEvents(engine, answer->body);
        position = {page.incarnation, page.next > 0 ? page.next - 1 : 0};
        return page;
    } catch (const nlohmann::json::exception &error) {
        LogEvent("cache_events_unreadable", Severity::Warning)
                .field("engine", engine.str())
                .field("reason", error.what());
        return std::nullopt;
    }
}

Event requestState(HttpCaller &client, const EngineId &engine)
{
    const auto answer = client.get("/v1/state", MonotonicClock::now() + AnswerTimeout);
    if (!answer) {
        return EngineUnreachable{engine, answer.error().detail};
    }
    if (answer->status != 200) {
        return EngineUnreachable{engine, "status " + std::to_string(answer->status)};
    }
    try {
        return parseReport(engine, answer->body, MonotonicClock::now());
    } catch (const nlohmann::json::exception &error) {
        return EngineUnreachable{engine, error.what()};
    }
}

} // namespace

EnginePoller::EnginePoller(const FleetStore &fleet, Inbox &inbox, BackendTls tls)
    : m_fleet(fleet)
    , m_inbox(inbox)
    , m_tls(std::move(tls))
{
    m_supervisor = std::jthread([this](const std::stop_token &stop) { supervise(stop); });
}

EnginePoller::~EnginePoller()
{
    m_supervisor.request_stop();
    for (auto &[engine, thread] : m_pollers) {
        thread.request_stop();
    }
}

void EnginePoller::supervise(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const std::shared_ptr<const Fleet> fleet = m_fleet.current();
        if (fleet->bundle) {
            for (const EngineEntry &entry : fleet->bundle->engines) {
                if (m_pollers.contains(entry.id)) {
                    continue;
                }
                m_pollers.emplace(entry.id, [this, entry](const std::stop_token &stopOne) {
                    poll(stopOne, entry);
                });
            }
        }
        pause(stop, MonotonicClock::now() + PollInterval);
    }
}

void EnginePoller::poll(const std::stop_token &stop, const EngineEntry &entry)
{
    HttpCaller client(entry.endpoint, m_tls, MaxAnswerBytes);
    FeedPosition position;
    while (!stop.stop_requested()) {
        Event state = requestState(client, entry.id);
        const bool reached = std::holds_alternative<EngineReported>(state);
        m_inbox.post(std::move(state));
        if (reached) {
            if (auto page = readCacheEvents(client, entry.id, position)) {
                m_inbox.post(std::move(*page));
            }
        }
        pause(stop, MonotonicClock::now() + PollInterval);
    }
}

void EnginePoller::pause(const std::stop_token &stop, TimePoint until)
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_until(lock, stop, until, [] { return false; });
}

} // namespace vanilladyke
