#include "vanilladyke/policy/kept_cache_view.hpp"

#include <xxhash.h>

#include <algorithm>

namespace vanilladyke {

std::string cacheSalt(const ModelId &model, std::uint64_t weights, const std::string &group)
{
    const std::string salt = model.str() + "." + std::to_string(weights);
    return group.empty() ? salt : salt + "." + group;
}

std::uint64_t KeptCacheView::keyOf(const std::string &salt, const std::string &part)
{
    return XXH3_64bits_withSeed(part.data(), part.size(), XXH3_64bits(salt.data(), salt.size()));
}

const KeptCacheView::TrackedStore *KeptCacheView::find(const Endpoint &store) const
{
    const auto found =
            std::find_if(m_stores.begin(), m_stores.end(),
                         [&](const TrackedStore &each) { return each.store.endpoint == store; });
    return found == m_stores.end() ? nullptr : &*found;
}

void KeptCacheView::setStores(const std::vector<KeptStore> &stores)
{
    std::vector<TrackedStore> next;
    for (const KeptStore &store : stores) {
        const TrackedStore *known = find(store.endpoint);
        next.push_back(known == nullptr ? TrackedStore{store, KeptCacheState::Unknown, {}}
                                        : *known);
        next.back().store = store;
    }
    m_stores = std::move(next);
}

const KeptStore *KeptCacheView::storeOf(const DataCentreId &preferredDataCentre) const
{
    if (m_stores.empty()) {
        return nullptr;
    }
    const auto local =
            std::find_if(m_stores.begin(), m_stores.end(), [&](const TrackedStore &each) {
                return each.store.dataCentre == preferredDataCentre;
            });
    if (local != m_stores.end()) {
        return &local->store;
    }
    return &m_stores[hashOfName(preferredDataCentre.str()) % m_stores.size()].store;
}

void KeptCacheView::reset(const Endpoint &store, KeptCacheState state)
{
    for (TrackedStore &each : m_stores) {
        if (each.store.endpoint == store) {
            each.state = state;
            each.tokens.clear();
        }
    }
}

void KeptCacheView::changed(const Endpoint &store, const std::string &salt, const std::string &part,
                            std::uint64_t tokens)
{
    const std::uint64_t key = keyOf(salt, part);
    for (TrackedStore &each : m_stores) {
        if (each.store.endpoint != store) {
            continue;
        }
        if (tokens == 0) {
            each.tokens.erase(key);
        } else if (each.tokens.size() < MaxParts || each.tokens.contains(key)) {
            each.tokens[key] = static_cast<std::uint32_t>(tokens);
        }
    }
}

void KeptCacheView::recordSaved(std::uint64_t key, TimePoint now)
{
    if (m_saved.size() >= MaxParts) {
        std::erase_if(m_saved,
                      [now](const auto &item) { return now - item.second >= SavedLifetime; });
    }
    if (m_saved.size() < MaxParts) {
        m_saved[key] = now;
    }
}

KeptCacheState KeptCacheView::state(const Endpoint &store) const
{
    const TrackedStore *known = find(store);
    return known == nullptr ? KeptCacheState::Down : known->state;
}

bool KeptCacheView::holds(const Endpoint &store, const std::string &salt, const std::string &part,
                          TimePoint now) const
{
    const TrackedStore *known = find(store);
    if (known == nullptr || known->state == KeptCacheState::Down) {
        return false;
    }
    const std::uint64_t key = keyOf(salt, part);
    if (known->state == KeptCacheState::Followed) {
        return known->tokens.contains(key);
    }
    const auto saved = m_saved.find(key);
    return saved != m_saved.end() && now - saved->second < SavedLifetime;
}

std::size_t KeptCacheView::size() const
{
    std::size_t all = m_saved.size();
    for (const TrackedStore &each : m_stores) {
        all += each.tokens.size();
    }
    return all;
}

} // namespace vanilladyke
