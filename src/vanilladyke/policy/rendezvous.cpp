#include "vanilladyke/policy/rendezvous.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace vanilladyke {

namespace {

struct GroupScore
{
    double score = 0; ///< ascending order
    std::uint32_t group = 0;
};

/// An exponential variate divided by the group's size, so that each engine gets the same share.
double scoreOf(const ChainHash &prefix, std::uint32_t group, std::uint32_t size)
{
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    const std::uint64_t bits = mixBits(prefix.low ^ mixBits(group)) >> 11U;
    const double chance = (static_cast<double>(bits) + 1.0) * Scale;
    return -std::log(chance) / size;
}

std::uint32_t bestMember(const ModelEngines &engines, const ChainHash &prefix, std::uint32_t group)
{
    const auto first = engines.members.begin() + engines.groupStart[group];
    const auto last = engines.members.begin() + engines.groupStart[group + 1];
    std::uint32_t best = first->engine;
    std::uint64_t bestScore = 0;
    for (auto member = first; member != last; ++member) {
        const std::uint64_t score = mixBits(prefix.high ^ static_cast<std::uint64_t>(member->key));
        if (score >= bestScore) {
            bestScore = score;
            best = member->engine;
        }
    }
    return best;
}

} // namespace

std::vector<std::uint32_t> rendezvousOrder(const ModelEngines &engines, const ChainHash &prefix,
                                           std::size_t most)
{
    std::array<GroupScore, RendezvousGroups> scores;
    std::size_t count = 0;
    for (std::uint32_t group = 0; group < RendezvousGroups; ++group) {
        const std::uint32_t size = engines.groupStart[group + 1] - engines.groupStart[group];
        if (size > 0) {
            scores[count++] = {scoreOf(prefix, group, size), group};
        }
    }
    const std::size_t taken = std::min(most, count);
    std::partial_sort(scores.begin(), scores.begin() + taken, scores.begin() + count,
                      [](const GroupScore &a, const GroupScore &b) { return a.score < b.score; });
    std::vector<std::uint32_t> order;
    order.reserve(taken);
    for (std::size_t i = 0; i < taken; ++i) {
        order.push_back(bestMember(engines, prefix, scores[i].group));
    }
    return order;
}

std::optional<SharedLevels> sharedLevels(const PrefixChain &chain)
{
    if (chain.empty()) {
        return std::nullopt;
    }
    // The last message is specific to the request; the ones before it can be shared by prompts.
    SharedLevels levels{chain.front(), chain.front()};
    std::uint32_t longest = 0;
    std::uint32_t before = 0;
    for (std::size_t i = 0; i + 1 < chain.size(); ++i) {
        if (!chain[i].endsMessage) {
            continue;
        }
        if (chain[i].tokens - before > longest) {
            longest = chain[i].tokens - before;
            levels.shared = chain[i];
        }
        before = chain[i].tokens;
        levels.deepest = chain[i];
    }
    return levels;
}

} // namespace vanilladyke
