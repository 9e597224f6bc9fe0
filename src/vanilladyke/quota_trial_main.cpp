#include "vanilladyke/policy/quota_replay.hpp"

#include <cstdio>
#include <cstdlib>

/// Compares ways of keeping customers' quotas over all nodes by replays.
namespace vanilladyke {
namespace {

struct Scenario
{
    const char *name;
    double demand;
    std::function<void(int ms, std::size_t nodes, const std::function<void(std::size_t)> &kill,
                       const std::function<void(std::size_t)> &start,
                       const std::function<void(double)> &split,
                       const std::function<void(double)> &isolate,
                       const std::function<void(double)> &setDemand)>
            fault;
};

template <typename Way>
void play(const Scenario &scenario, QuotaReplayTerms terms)
{
    double worst = 0;
    double served = 0;
    double bytes = 0;
    const int seeds = terms.nodes > 100 ? 1 : 3;
    for (int seed = 1; seed <= seeds; ++seed) {
        terms.seed = static_cast<std::uint64_t>(seed);
        terms.demand = scenario.demand;
        QuotaReplay<Way> replay(terms);
        replay.run([&](QuotaReplay<Way> &play, int ms) {
            scenario.fault(
                    ms, terms.nodes, [&](std::size_t i) { play.kill(i); },
                    [&](std::size_t i) { play.start(i, ms); }, [&](double p) { play.split(p); },
                    [&](double p) { play.isolate(p); }, [&](double d) { play.setDemand(d); });
        });
        worst = std::max(worst, replay.worstWindow());
        served += replay.servedPart() / seeds;
        bytes += replay.bytesPerNodeSecond() / seeds;
    }
    std::printf("%-20s %4zu nodes %8.0f/s  %-28s worst %.2f  served %.3f  %6.0f B/s\n", Way::Name,
                terms.nodes, terms.quota.perSecond, scenario.name, worst, served, bytes);
    std::fflush(stdout);
}

void compare(std::size_t nodes, double perSecond)
{
    const auto nothing = [](int, std::size_t, auto &, auto &, auto &, auto &, auto &) {};
    const auto killAt = [](double part, double demand) {
        return [part, demand](int ms, std::size_t nodes, auto &kill, auto &start, auto &, auto &,
                              auto &setDemand) {
            for (std::size_t i = 0; static_cast<double>(i) < part * static_cast<double>(nodes);
                 ++i) {
                if (ms == 12'000) {
                    kill(i);
                }
                if (ms == 14'000 + static_cast<int>(i)) {
                    start(i);
                }
            }
            if (ms == 8'000) {
                setDemand(demand);
            }
        };
    };
    const std::vector<Scenario> scenarios{
            {"calm", 0.9, nothing},
            {"asked 4.2", 4.2, nothing},
            {"surge x8 of 0.9", 0.9,
             [](int ms, std::size_t, auto &, auto &, auto &, auto &, auto &setDemand) {
                 if (ms == 15'000 || ms == 25'000) {
                     setDemand(ms == 15'000 ? 7.2 : 0.9);
                 }
             }},
            {"all killed, 0.9", 0.9, killAt(1, 0.9)},
            {"all killed, 4.2", 4.2, killAt(1, 4.2)},
            {"0.6 killed, surge before", 0.9, killAt(0.6, 5.4)},
            {"halves cut, 0.9", 0.9,
             [](int ms, std::size_t, auto &, auto &, auto &split, auto &, auto &) {
                 if (ms == 10'000 || ms == 20'000) {
                     split(ms == 10'000 ? 0.5 : 0);
                 }
             }},
            {"halves cut, 4.2", 4.2,
             [](int ms, std::size_t, auto &, auto &, auto &split, auto &, auto &) {
                 if (ms == 10'000 || ms == 20'000) {
                     split(ms == 10'000 ? 0.5 : 0);
                 }
             }},
            {"0.35 alone, 7.2", 7.2,
             [](int ms, std::size_t, auto &, auto &, auto &, auto &isolate, auto &) {
                 if (ms == 10'000 || ms == 20'000) {
                     isolate(ms == 10'000 ? 0.35 : 0);
                 }
             }},
    };
    for (const Scenario &each : scenarios) {
        QuotaReplayTerms terms;
        terms.nodes = nodes;
        terms.quota.perSecond = perSecond;
        terms.quota.burst = perSecond;
        play<SharesByDemand>(each, terms);
        play<OneAccountAsked>(each, terms);
        play<ToldByAll>(each, terms);
    }
}

} // namespace
} // namespace vanilladyke

int main(int count, char **arguments)
{
    const std::size_t nodes = count > 1 ? std::strtoul(arguments[1], nullptr, 10) : 73;
    vanilladyke::compare(nodes, 47'000);
    vanilladyke::compare(nodes, 1'000'000);
    return 0;
}
