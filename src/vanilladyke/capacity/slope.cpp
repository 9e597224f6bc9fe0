#include "vanilladyke/capacity/slope.hpp"

#include <ctime>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <sstream>

namespace vanilladyke {

namespace {

constexpr int Runs = 5;

Duration threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

SlopeFit fitLine(const std::vector<SlopeSample> &samples)
{
    const auto count = static_cast<double>(samples.size());
    double sizes = 0;
    double values = 0;
    double sizeSquares = 0;
    double products = 0;
    for (const SlopeSample &sample : samples) {
        sizes += sample.size;
        values += sample.value;
        sizeSquares += sample.size * sample.size;
        products += sample.size * sample.value;
    }
    SlopeFit fit;
    fit.perUnit = (count * products - sizes * values) / (count * sizeSquares - sizes * sizes);
    fit.base = (values - fit.perUnit * sizes) / count;
    double largest = 0;
    double worst = 0;
    for (const SlopeSample &sample : samples) {
        largest = std::max(largest, std::abs(sample.value));
        worst = std::max(worst, std::abs(sample.value - fit.at(sample.size)));
    }
    fit.spread = largest > 0 ? worst / largest : 0;
    return fit;
}

Slope measureSlope(std::string role, std::string cost, std::string size,
                   const std::vector<double> &sizes, const std::function<double(double)> &measure)
{
    Slope slope{std::move(role), std::move(cost), std::move(size), {}, {}};
    for (const double each : sizes) {
        slope.samples.push_back({each, measure(each)});
    }
    slope.fit = fitLine(slope.samples);
    return slope;
}

Duration processorTime(const std::function<void()> &work)
{
    Duration least = Duration::max();
    for (int run = 0; run < Runs; ++run) {
        const Duration before = threadTime();
        work();
        least = std::min(least, threadTime() - before);
    }
    return least;
}

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

std::string describe(const Slope &slope)
{
    std::ostringstream out;
    out.precision(4);
    out << "slope role=" << slope.role << " cost=" << slope.cost << " per=" << slope.size
        << " base=" << slope.fit.base << " per_unit=" << slope.fit.perUnit
        << " spread=" << slope.fit.spread << " samples=";
    for (const SlopeSample &sample : slope.samples) {
        out << (&sample == &slope.samples.front() ? "" : ",") << sample.size << ':' << sample.value;
    }
    return out.str();
}

} // namespace vanilladyke
