#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// Counters, gauges and histograms of one process, printed in the Prometheus text format.
namespace vanilladyke {

/// @brief All metrics of a process. Every member may be called from any thread.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// @brief Adds to a counter. @param name with labels, as in requests_total{model="a"}
    void count(std::string_view name, std::uint64_t amount = 1);
    /// @brief Sets a gauge.
    void gauge(std::string_view name, double value);
    /// @brief Adds a span to a histogram with logarithmic bins from 50 µs to 100 s.
    void observe(std::string_view name, Duration value);
    /// @brief The present value of a counter; 0 if it was never counted.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    /// @brief Everything in the Prometheus text format; histograms in seconds.
    [[nodiscard]] std::string text() const;

private:
    struct Store;
    std::unique_ptr<Store> m_store;
};

} // namespace vanilladyke
