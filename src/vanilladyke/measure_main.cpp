#include "vanilladyke/experiment/comparison.hpp"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

namespace {

using vanilladyke::Deployment;
using vanilladyke::WayResult;

void print(const Deployment &deployment, double load, std::uint64_t seed, const WayResult &result)
{
    std::printf("deployment=%s load=%.2f seed=%lu way=%s hit_rate=%.4f ttft_p50_ms=%.1f "
                "ttft_p99_ms=%.1f recomputed_tokens=%.0f refused=%zu late=%zu goodput=%.4f "
                "fairness=%.4f requests=%zu\n",
                deployment.name.c_str(), load, seed, result.way.c_str(), result.hitRate,
                result.ttftMedianMs, result.ttftP99Ms, result.recomputedTokens, result.refused,
                result.late, result.goodput, result.fairness, result.requests);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    TCLAP::CmdLine line("Compares ways of routing on a simulated fleet.", ' ', "0.1.0");
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of trace and nodes", false, 1, "N", line);
    TCLAP::ValueArg<std::string> name("", "deployment", "shadeline or ashline", false, "shadeline",
                                      "NAME", line);
    TCLAP::ValueArg<double> load("", "load", "part of capacity offered", false, 0.8, "F", line);
    TCLAP::ValueArg<std::string> way("", "way", "one way only", false, "", "WAY", line);
    TCLAP::ValueArg<int> length("", "seconds", "virtual time", false, 150, "S", line);
    TCLAP::ValueArg<double> recompute("", "recompute-weight", "instead of the deployment's", false,
                                      -1, "W", line);
    TCLAP::ValueArg<double> tail("", "tail-weight", "instead of the deployment's", false, -1, "W",
                                 line);
    line.parse(argc, argv);
    if (name.getValue() != "shadeline" && name.getValue() != "ashline") {
        std::cerr << "unknown deployment " << name.getValue() << '\n';
        return 2;
    }
    Deployment deployment =
            name.getValue() == "ashline" ? vanilladyke::ashline() : vanilladyke::shadeline();
    const double capacity = vanilladyke::measureCapacity(deployment);
    if (recompute.isSet()) {
        deployment.objective.recomputeWeight = recompute.getValue();
    }
    if (tail.isSet()) {
        deployment.objective.tailWeight = tail.getValue();
    }
    std::fprintf(stderr, "capacity_requests_per_second=%.2f\n", capacity);
    for (const std::string &each : vanilladyke::wayNames()) {
        if (way.getValue().empty() || way.getValue() == each) {
            print(deployment, load.getValue(), seed.getValue(),
                  vanilladyke::measureWay(each, deployment, load.getValue(), capacity,
                                          std::chrono::seconds(length.getValue()),
                                          seed.getValue()));
        }
    }
    return 0;
}
