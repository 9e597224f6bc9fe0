#include "vanilladyke/base/log.hpp"
#include "vanilladyke/capacity/measurements.hpp"

#include <iostream>

/// Prints every slope, one line each; tools/capacity.sh makes the page's tables of them.
int main()
{
    vanilladyke::initializeLog(vanilladyke::Severity::Error, "");
    using Measure = std::vector<vanilladyke::Slope> (*)();
    constexpr Measure Measures[] = {
            vanilladyke::measureMembership, vanilladyke::measurePeerLinks,
            vanilladyke::measureEngines,    vanilladyke::measureCustomers,
            vanilladyke::measurePrompts,    vanilladyke::measureMetrics,
            vanilladyke::measurePlacement,  vanilladyke::measureQueue,
            vanilladyke::measureClaims,     vanilladyke::measureMembers,
    };
    for (const Measure measure : Measures) {
        for (const vanilladyke::Slope &slope : measure()) {
            std::cout << describe(slope) << std::endl;
        }
    }
    return EXIT_SUCCESS;
}
