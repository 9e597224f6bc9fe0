#include "engine_batch.hpp"

#include <algorithm>

namespace standin {

namespace {

/// How long a finished stream can still be resumed.
constexpr Milliseconds KeepFor = std::chrono::seconds(60);
constexpr Milliseconds KeepReports = std::chrono::seconds(10);
constexpr Milliseconds ReportEvery{20};

nlohmann::json modelsJson(const std::vector<Weights> &models)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Weights &weights : models) {
        list.push_back({{"id", weights.model},
                        {"weights", weights.version},
                        {"adapters", weights.adapters}});
    }
    return list;
}

nlohmann::json streamJson(const Stream &stream, std::uint64_t incarnation)
{
    constexpr std::array StateNames{"waiting", "running", "finished", "cancelled", "lost"};
    return {{"request", stream.request},
            {"stream", stream.id},
            {"weights", stream.weights.version},
            {"attempts", stream.attempts},
            {"incarnation", incarnation},
            {"state", StateNames.at(static_cast<std::size_t>(stream.state))},
            {"start", stream.start},
            {"tokens", stream.produced - stream.start},
            {"prompt_tokens", stream.promptTokens},
            {"cached_tokens", stream.cachedTokens}};
}

std::uint64_t freshIncarnation(std::uint64_t last)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto millis = std::chrono::duration_cast<Milliseconds>(now).count();
    return std::max(static_cast<std::uint64_t>(millis), last + 1);
}

} // namespace

Batch::Batch(const Options &options, const Weights &held)
    : incarnation(freshIncarnation(0))
    , cache(options.cacheTokens)
    , m_options(options)
    , m_held{held}
{
    m_thread = std::jthread([this](const std::stop_token &stop) { run(stop); });
}

Batch::~Batch()
{
    m_thread.request_stop();
    m_thread.join();
}

const Weights *Batch::held(const std::string &model) const
{
    const auto found = std::find_if(m_held.begin(), m_held.end(),
                                    [&](const Weights &weights) { return weights.model == model; });
    return found == m_held.end() ? nullptr : &*found;
}

StreamPtr Batch::find(const std::string &id) const
{
    const auto found = m_streams.find(id);
    return found == m_streams.end() ? nullptr : found->second;
}

void Batch::add(const StreamPtr &stream)
{
    m_streams[stream->id] = stream;
    const auto place =
            std::find_if(m_waiting.begin(), m_waiting.end(), [&](const StreamPtr &other) {
                return other->priority > stream->priority;
            });
    m_waiting.insert(place, stream);
    m_wake.notify_one();
}

void Batch::cancel(Stream &stream)
{
    if (stream.over()) {
        return;
    }
    std::erase_if(m_waiting, [&](const StreamPtr &each) { return each.get() == &stream; });
    std::erase_if(m_running, [&](const StreamPtr &each) { return each.get() == &stream; });
    end(stream, Stream::State::Cancelled);
}

void Batch::crash()
{
    for (const auto &[id, stream] : m_streams) {
        if (!stream->over()) {
            end(*stream, Stream::State::Lost);
        }
        m_lost.push_back(streamJson(*stream, incarnation));
    }
    m_streams.clear();
    m_waiting.clear();
    m_running.clear();
    m_reports.clear();
    cache = PrefixCache(m_options.cacheTokens);
    incarnation = freshIncarnation(incarnation);
}

bool Batch::order(const Order &order)
{
    const std::pair wanted(order.fencing, order.sequence);
    const std::pair highest(highestFencing, m_highestSequence);
    if (m_options.fencing && wanted < highest) {
        return false;
    }
    std::tie(highestFencing, m_highestSequence) = std::max(wanted, highest);
    m_orders.push_back({{"fencing", order.fencing},
                        {"sequence", order.sequence},
                        {"models", modelsJson(order.models)},
                        {"role", order.role}});
    m_role = order.role;
    const auto wants = [&](const Weights &each) {
        return std::find(order.models.begin(), order.models.end(), each) != order.models.end();
    };
    std::erase_if(m_held, [&](const Weights &each) { return !wants(each); });
    const std::vector<Weights> wasLoading = std::exchange(m_loading, {});
    std::copy_if(order.models.begin(), order.models.end(), std::back_inserter(m_loading),
                 [&](const Weights &each) {
                     return std::find(m_held.begin(), m_held.end(), each) == m_held.end();
                 });
    if (!m_loading.empty() && m_loading != wasLoading) {
        cache.evictAll();
        m_loadedAt = Clock::now() + m_options.load;
    }
    return true;
}

nlohmann::json Batch::state() const
{
    const Clock::time_point newest = Clock::now() - m_options.reportLag;
    const auto later = std::find_if(m_reports.begin(), m_reports.end(),
                                    [&](const auto &each) { return each.first > newest; });
    if (m_options.reportLag == Milliseconds::zero() || m_reports.empty()) {
        return report();
    }
    return later == m_reports.begin() ? later->second : std::prev(later)->second;
}

nlohmann::json Batch::log() const
{
    nlohmann::json runs = m_lost;
    for (const auto &[id, stream] : m_streams) {
        runs.push_back(streamJson(*stream, incarnation));
    }
    return {{"incarnation", incarnation}, {"runs", runs}, {"orders", m_orders}};
}

void Batch::run(const std::stop_token &stop)
{
    std::unique_lock lock(mutex);
    while (!stop.stop_requested()) {
        const bool idle = m_waiting.empty() && m_running.empty() && m_loading.empty();
        const auto pause = idle ? ReportEvery : m_options.step;
        const auto wakeAt =
                Clock::now() + std::chrono::duration_cast<Clock::duration>(pause * slowness);
        m_wake.wait_until(lock, stop, wakeAt, [&] { return idle && !m_waiting.empty(); });
        if (Clock::now() >= frozenUntil) {
            step();
        }
    }
}

void Batch::step()
{
    finishLoad();
    admit();
    prefill();
    decode();
    forgetOld();
    if (m_reports.empty() || Clock::now() - m_reports.back().first >= ReportEvery) {
        m_reports.emplace_back(Clock::now(), report());
    }
}

void Batch::admit()
{
    while (m_running.size() < m_options.slots && !m_waiting.empty()) {
        const StreamPtr stream = m_waiting.front();
        m_waiting.pop_front();
        stream->state = Stream::State::Running;
        stream->cachedTokens = std::min(cache.lookUp(stream->chain), stream->promptTokens);
        stream->prefillLeft = stream->promptTokens - stream->cachedTokens;
        m_running.push_back(stream);
    }
}

/// One step's worth of prefill goes to the streams in the order in which they were admitted.
void Batch::prefill()
{
    double budget = m_options.prefillRate * std::chrono::duration<double>(m_options.step).count();
    for (const StreamPtr &stream : m_running) {
        const double done = std::min(budget, stream->prefillLeft);
        budget -= done;
        stream->prefillLeft -= done;
        if (done > 0 && stream->prefillLeft <= 0) {
            cache.store(stream->chain);
        }
    }
}

void Batch::decode()
{
    for (const StreamPtr &stream : m_running) {
        if (stream->prefillLeft > 0) {
            continue;
        }
        if (stream->produced < stream->wanted) {
            ++stream->produced;
        }
        if (stream->produced >= stream->wanted) {
            end(*stream, Stream::State::Finished);
        }
        stream->changed.notify_all();
    }
    std::erase_if(m_running, [](const StreamPtr &stream) { return stream->over(); });
}

void Batch::finishLoad()
{
    if (!m_loading.empty() && Clock::now() >= m_loadedAt) {
        m_held.insert(m_held.end(), m_loading.begin(), m_loading.end());
        m_loading.clear();
    }
}

void Batch::forgetOld()
{
    const Clock::time_point now = Clock::now();
    while (!m_reports.empty() && now - m_reports.front().first > KeepReports) {
        m_reports.pop_front();
    }
    std::erase_if(m_streams, [&](const auto &each) {
        const bool old = each.second->over() && now - each.second->endedAt > KeepFor;
        if (old) {
            m_lost.push_back(streamJson(*each.second, incarnation));
        }
        return old;
    });
}

void Batch::end(Stream &stream, Stream::State state)
{
    stream.state = state;
    stream.endedAt = Clock::now();
    stream.changed.notify_all();
}

nlohmann::json Batch::report() const
{
    double queued = 0;
    for (const StreamPtr &stream : m_waiting) {
        queued += stream->promptTokens;
    }
    for (const StreamPtr &stream : m_running) {
        queued += stream->prefillLeft;
    }
    const double stepSeconds = std::chrono::duration<double>(m_options.step).count() * slowness;
    return {{"engine", m_options.id},
            {"incarnation", incarnation},
            {"models", modelsJson(m_held)},
            {"loading", modelsJson(m_loading)},
            {"role", m_role},
            {"fencing", highestFencing},
            {"running", m_running.size()},
            {"waiting", m_waiting.size()},
            {"queued_prefill_tokens", static_cast<std::uint64_t>(queued)},
            {"prefill_tokens_per_second", m_options.prefillRate / slowness},
            {"decode_tokens_per_second", 1.0 / stepSeconds}};
}

} // namespace standin
