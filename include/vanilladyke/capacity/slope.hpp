#pragma once

#include "vanilladyke/base/time.hpp"

#include <functional>
#include <string>
#include <vector>

/// Slopes: how a cost grows with a size, measured at several sizes and fitted to a line.
namespace vanilladyke {

/// @brief One measurement.
struct SlopeSample
{
    double size = 0;
    double value = 0;
};

/// @brief value = base + perUnit × size, with how far off the worst sample is.
struct SlopeFit
{
    double base = 0;
    double perUnit = 0;
    double spread = 0; ///< largest residual as a fraction of the largest value
    [[nodiscard]] double at(double size) const { return base + perUnit * size; }
};

/// @brief What was measured.
struct Slope
{
    std::string role; ///< such as membership
    std::string cost; ///< such as cpu_us_per_s
    std::string size; ///< what the size counts, such as nodes
    std::vector<SlopeSample> samples;
    SlopeFit fit;
};

/// @brief Least squares over the samples; two at least.
[[nodiscard]] SlopeFit fitLine(const std::vector<SlopeSample> &samples);

/// @brief Measures at each size and fits. @param measure gives the cost at a size
[[nodiscard]] Slope measureSlope(std::string role, std::string cost, std::string size,
                                 const std::vector<double> &sizes,
                                 const std::function<double(double)> &measure);

/// @brief Processor time that this thread spends in @p work, the least of several runs: other
/// processes on the machine can only add to it.
[[nodiscard]] Duration processorTime(const std::function<void()> &work);

/// @brief Bytes on the heap that @p make leaves allocated while its result lives.
template <typename Make>
[[nodiscard]] double heapBytes(Make make);

/// @brief Bytes that are allocated on the heap now, over all threads.
[[nodiscard]] double allocatedBytes();

template <typename Make>
double heapBytes(Make make)
{
    const double before = allocatedBytes();
    const auto made = make();
    return allocatedBytes() - before;
}

/// @brief One line of key=value pairs, as tools/capacity.sh prints it.
[[nodiscard]] std::string describe(const Slope &slope);

} // namespace vanilladyke
