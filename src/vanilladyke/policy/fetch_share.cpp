#include "vanilladyke/policy/fetch_share.hpp"

#include <cmath>

namespace vanilladyke {

double FetchShare::demand(std::uint64_t store, TimePoint now) const
{
    const auto known = m_stores.find(store);
    if (known == m_stores.end()) {
        return 0;
    }
    const double ages = secondsOf(now - known->second.at) / secondsOf(DemandWindow);
    return known->second.tokensPerMs * std::exp(-ages);
}

void FetchShare::recordDemand(std::uint64_t store, double tokens, TimePoint now)
{
    constexpr double PerSecond = 1000;
    const double before = demand(store, now);
    m_stores[store] = {before + tokens / (secondsOf(DemandWindow) * PerSecond), now};
}

bool FetchShare::allows(std::uint64_t store, double linkTokensPerMs, double draw,
                        TimePoint now) const
{
    return draw * demand(store, now) < LinkFraction * linkTokensPerMs;
}

} // namespace vanilladyke
