#include "vanilladyke/base/metrics.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(Metrics, PrintsCountersGaugesAndHistogramsAsPrometheusText)
{
    Metrics metrics;
    metrics.count("requests_total{model=\"a\"}", 2);
    metrics.count("requests_total{model=\"a\"}");
    metrics.gauge("ready", 1);
    metrics.observe("first_token_seconds", std::chrono::milliseconds(10));
    const std::string text = metrics.text();
    EXPECT_NE(text.find("vanilladyke_requests_total{model=\"a\"} 3\n"), std::string::npos);
    EXPECT_NE(text.find("vanilladyke_ready 1\n"), std::string::npos);
    EXPECT_NE(text.find("vanilladyke_first_token_seconds_count 1\n"), std::string::npos);
    EXPECT_NE(text.find("vanilladyke_first_token_seconds_bucket{le=\"+Inf\"} 1\n"),
              std::string::npos);
}

} // namespace
} // namespace vanilladyke
