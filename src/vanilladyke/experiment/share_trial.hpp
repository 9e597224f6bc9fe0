#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/experiment/slot_share_rules.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

/// Trial of rules for slot shares: nodes, engines and lagging load reports as an event-driven
/// model, the same for every rule and repeatable by seed.
namespace vanilladyke {

/// @brief One load pattern.
struct ShareScenario
{
    std::string name;
    std::uint32_t nodes = 8;
    std::uint32_t engines = 9;
    std::uint32_t slots = 16;
    Duration span = std::chrono::seconds(30);
    /// Load that arrives at a node at a time, as a part of what all engines can do.
    std::function<double(std::uint32_t node, Duration at)> load;
};

/// @brief What callers received under one rule.
struct ShareResult
{
    double goodput = 0;    ///< answers begun in time, of the lesser of load and capacity
    double late = 0;       ///< requests given to an engine that began after their deadline, of all
    double unfairness = 0; ///< the worst node: 1 - served / its max-min fair part
    Duration wait99{};     ///< 99th percentile from arrival to begin, of those given to an engine
};

/// @brief The scenarios of docs/DECISIONS.md.
[[nodiscard]] std::vector<ShareScenario> shareScenarios();

/// @brief The max-min fair parts of a capacity.
[[nodiscard]] std::vector<double> maxMinParts(const std::vector<double> &demands, double capacity);

/// @brief Counts what callers received, apart from any rule.
class ShareTally
{
public:
    explicit ShareTally(std::size_t nodes)
        : m_offered(nodes)
        , m_served(nodes)
    {}

    void offer(std::size_t node, Duration work) { m_offered[node] += secondsOf(work); }
    void begin(std::size_t node, Duration work, Duration wait, bool inTime);
    [[nodiscard]] ShareResult result(double capacity) const;

private:
    std::vector<double> m_offered;
    std::vector<double> m_served;
    std::vector<Duration> m_waits;
    std::size_t m_late = 0;
};

/// @brief Runs one scenario under one rule.
template <ShareRule Rule>
[[nodiscard]] ShareResult runShareTrial(const ShareScenario &scenario, std::uint64_t seed);

extern template ShareResult runShareTrial<UnheardPartRule>(const ShareScenario &, std::uint64_t);
extern template ShareResult runShareTrial<EqualSplitRule>(const ShareScenario &, std::uint64_t);
extern template ShareResult runShareTrial<AdditiveIncreaseRule>(const ShareScenario &,
                                                                std::uint64_t);
extern template ShareResult runShareTrial<AggressiveIncreaseRule>(const ShareScenario &,
                                                                  std::uint64_t);
extern template ShareResult runShareTrial<WantingPartRule>(const ShareScenario &, std::uint64_t);

} // namespace vanilladyke
