#include "vanilladyke/base/metrics.hpp"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace vanilladyke {

namespace {

namespace bh = boost::histogram;

constexpr unsigned BinCount = 42;
constexpr double LeastSeconds = 50e-6;
constexpr double MostSeconds = 100.0;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(LogAxis(BinCount, LeastSeconds, MostSeconds)));

struct SpanHistogram
{
    Histogram bins = bh::make_histogram(LogAxis(BinCount, LeastSeconds, MostSeconds));
    double sum = 0;
    std::uint64_t count = 0;
};

void print(std::ostream &out, const std::string &name, const SpanHistogram &histogram)
{
    double cumulative = histogram.bins.at(-1);
    const auto &axis = histogram.bins.axis();
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += histogram.bins.at(i);
        out << name << "_bucket{le=\"" << axis.bin(i).upper() << "\"} " << cumulative << '\n';
    }
    out << name << "_bucket{le=\"+Inf\"} " << histogram.count << '\n';
    out << name << "_sum " << histogram.sum << '\n';
    out << name << "_count " << histogram.count << '\n';
}

} // namespace

struct Metrics::Store
{
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, SpanHistogram, std::less<>> histograms;
};

Metrics::Metrics()
    : m_store(std::make_unique<Store>())
{}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::uint64_t amount)
{
    const std::lock_guard lock(m_store->mutex);
    const auto found = m_store->counters.find(name);
    if (found != m_store->counters.end()) {
        found->second += amount;
    } else {
        m_store->counters.emplace(name, amount);
    }
}

void Metrics::gauge(std::string_view name, double value)
{
    const std::lock_guard lock(m_store->mutex);
    m_store->gauges[std::string(name)] = value;
}

void Metrics::observe(std::string_view name, Duration value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::lock_guard lock(m_store->mutex);
    SpanHistogram &histogram = m_store->histograms[std::string(name)];
    histogram.bins(seconds);
    histogram.sum += seconds;
    ++histogram.count;
}

std::uint64_t Metrics::counter(std::string_view name) const
{
    const std::lock_guard lock(m_store->mutex);
    const auto found = m_store->counters.find(name);
    return found == m_store->counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    const std::lock_guard lock(m_store->mutex);
    std::ostringstream out;
    for (const auto &[name, value] : m_store->counters) {
        out << "vanilladyke_" << name << ' ' << value << '\n';
    }
    for (const auto &[name, value] : m_store->gauges) {
        out << "vanilladyke_" << name << ' ' << value << '\n';
    }
    for (const auto &[name, histogram] : m_store->histograms) {
        print(out, "vanilladyke_" + name, histogram);
    }
    return out.str();
}

} // namespace vanilladyke
