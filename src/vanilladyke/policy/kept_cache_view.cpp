#include "vanilladyke/policy/kept_cache_view.hpp"

#include <xxhash.h>

namespace vanilladyke {

namespace {

std::uint64_t keyOf(const std::string &salt, const std::string &part)
{
    return XXH3_64bits_withSeed(part.data(), part.size(), XXH3_64bits(salt.data(), salt.size()));
}

} // namespace

std::string cacheSalt(const ModelId &model, std::uint64_t weights, const CustomerId &isolated)
{
    std::string salt = model.str() + "." + std::to_string(weights);
    return isolated.empty() ? salt : salt + "." + isolated.str();
}

void KeptCacheView::reset(KeptCacheState state)
{
    m_state = state;
    m_tokens.clear();
}

void KeptCacheView::changed(const std::string &salt, const std::string &part, std::uint64_t tokens)
{
    const std::uint64_t key = keyOf(salt, part);
    if (tokens == 0) {
        m_tokens.erase(key);
    } else if (m_tokens.size() < MostParts || m_tokens.contains(key)) {
        m_tokens[key] = static_cast<std::uint32_t>(tokens);
    }
}

bool KeptCacheView::mayHold(const std::string &salt, const std::string &part) const
{
    return m_state == KeptCacheState::Unknown
           || (m_state == KeptCacheState::Followed && holds(salt, part));
}

bool KeptCacheView::holds(const std::string &salt, const std::string &part) const
{
    return m_tokens.contains(keyOf(salt, part));
}

} // namespace vanilladyke
