#include "engine_cache.hpp"

#include <sstream>
#include <stdexcept>

namespace standin {

namespace {

constexpr std::size_t KeptEvents = 20'000;
constexpr std::size_t EventsAtOnce = 1'000;

} // namespace

Chain parseChain(const std::string &text)
{
    Chain chain;
    std::istringstream in(text);
    std::string item;
    while (std::getline(in, item, ',')) {
        const std::size_t colon = item.find(':');
        if (colon == std::string::npos) {
            throw std::invalid_argument("bad prefix chain");
        }
        chain.push_back({item.substr(0, colon),
                         static_cast<std::uint32_t>(std::stoul(item.substr(colon + 1)))});
    }
    return chain;
}

std::uint32_t PrefixCache::lookUp(const Chain &chain)
{
    std::size_t length = 0;
    while (length < chain.size() && m_entries.contains(chain[length].hash)) {
        ++length;
    }
    touch(chain, length);
    return length == 0 ? 0 : chain[length - 1].tokens;
}

void PrefixCache::store(const Chain &chain)
{
    std::uint32_t before = 0;
    for (const Cut &cut : chain) {
        const std::uint32_t own = cut.tokens - before;
        before = cut.tokens;
        if (m_entries.contains(cut.hash)) {
            continue;
        }
        m_order.push_front(cut.hash);
        m_entries[cut.hash] = {own, m_order.begin()};
        m_cumulative[cut.hash] = cut.tokens;
        m_size += own;
        publish(true, cut);
    }
    touch(chain, chain.size());
    while (m_size > m_capacity) {
        evictOldest();
    }
}

void PrefixCache::evictAll()
{
    while (!m_order.empty()) {
        evictOldest();
    }
}

/// The longest prefix is marked first, so that it is the first of its chain to be evicted.
void PrefixCache::touch(const Chain &chain, std::size_t length)
{
    for (std::size_t i = length; i > 0; --i) {
        m_order.splice(m_order.begin(), m_order, m_entries.at(chain[i - 1].hash).used);
    }
}

void PrefixCache::evictOldest()
{
    const std::string hash = m_order.back();
    publish(false, {hash, m_cumulative[hash]});
    m_size -= m_entries[hash].ownTokens;
    m_entries.erase(hash);
    m_cumulative.erase(hash);
    m_order.pop_back();
}

void PrefixCache::publish(bool stored, const Cut &cut)
{
    const std::uint64_t sequence = m_next++;
    if (m_toDrop > 0) {
        --m_toDrop;
        return;
    }
    m_events.push_back({Clock::now(), sequence, stored, cut});
    if (m_events.size() > KeptEvents) {
        m_events.pop_front();
    }
}

nlohmann::json PrefixCache::events(std::uint64_t after, Milliseconds lag) const
{
    nlohmann::json list = nlohmann::json::array();
    const Clock::time_point newest = Clock::now() - lag;
    std::uint64_t next = m_next;
    for (const Event &event : m_events) {
        if (event.at > newest || list.size() == EventsAtOnce) {
            next = event.sequence;
            break;
        }
        if (event.sequence > after) {
            list.push_back({{"seq", event.sequence},
                            {"kind", event.stored ? "stored" : "evicted"},
                            {"hash", event.cut.hash},
                            {"tokens", event.cut.tokens}});
        }
    }
    const std::uint64_t first = m_events.empty() ? m_next : m_events.front().sequence;
    return {{"first", first}, {"next", next}, {"events", list}};
}

} // namespace standin
