#include "vanilladyke/experiment/share_trial.hpp"

#include <tclap/CmdLine.h>

#include <cstdio>

namespace {

using namespace vanilladyke;

template <ShareRule Rule>
void print(const char *rule, std::uint64_t seed)
{
    for (const ShareScenario &scenario : shareScenarios()) {
        const ShareResult result = runShareTrial<Rule>(scenario, seed);
        std::printf("| %s | %s | %.1f | %.2f | %.1f | %.0f |\n", scenario.name.c_str(), rule,
                    100 * result.goodput, 100 * result.late, 100 * result.unfairness,
                    1000 * secondsOf(result.wait99));
    }
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Compares rules for slot shares; the same seed gives the same table.", ' ',
                        "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of all randomness", false, 1, "NUMBER",
                                        line);
    line.parse(argc, argv);
    std::puts("| load | rule | goodput % | late % | worst node short of its part % | "
              "99% wait ms |\n|---|---|---|---|---|---|");
    print<EqualSplitRule>("equal split", seed.getValue());
    print<AdditiveIncreaseRule>("additive increase", seed.getValue());
    print<AggressiveIncreaseRule>("aggressive increase as published", seed.getValue());
    print<UnheardPartRule>("kept rule, nothing heard of peers", seed.getValue());
    print<WantingPartRule>("kept rule", seed.getValue());
    return 0;
}
