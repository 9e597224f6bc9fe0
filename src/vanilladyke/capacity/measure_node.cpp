#include "vanilladyke/base/metrics.hpp"
#include "vanilladyke/capacity/measurements.hpp"
#include "vanilladyke/capacity/synthetic_bundle.hpp"
#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/model/bundle_json.hpp"
#include "vanilladyke/model/customer_index.hpp"

#include <memory>

namespace vanilladyke {

namespace {

double microsOf(Duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

EngineReported reportOf(const EngineEntry &engine)
{
    return {engine.id, Incarnation{1}, {{ModelId("model"), WeightsVersion("w1")}}, {}};
}

/// A controller that has heard of every engine of its bundle.
struct KnownEngines
{
    explicit KnownEngines(double engines)
        : bundle(std::make_shared<const Bundle>(
                syntheticBundle(0, static_cast<std::size_t>(engines))))
    {
        report();
    }

    void report()
    {
        for (const EngineEntry &engine : bundle->engines) {
            controller.handle(reportOf(engine), now);
        }
    }

    [[nodiscard]] std::shared_ptr<Fleet> publish()
    {
        auto fleet = std::make_shared<Fleet>();
        fleet->bundle = bundle;
        controller.contribute(*fleet, now);
        return fleet;
    }

    std::shared_ptr<const Bundle> bundle;
    EngineController controller;
    TimePoint now{std::chrono::seconds(1)};
};

std::shared_ptr<const Fleet> fleetOf(double customers)
{
    auto fleet = std::make_shared<Fleet>();
    fleet->bundle =
            std::make_shared<const Bundle>(syntheticBundle(static_cast<std::size_t>(customers), 0));
    fleet->customers = std::make_shared<const CustomerIndex>(fleet->bundle);
    return fleet;
}

double identifyMicros(double customers)
{
    constexpr std::size_t Calls = 200;
    RequestContext context;
    context.fleet = fleetOf(customers);
    const IdentifyCustomer identify;
    const Duration spent = processorTime([&] {
        for (std::size_t i = 0; i < Calls; ++i) {
            context.bearer = syntheticKey(i * static_cast<std::size_t>(customers) / Calls);
            static_cast<void>(identify(context));
        }
    });
    return microsOf(spent) / Calls;
}

} // namespace

std::vector<Slope> measureEngines()
{
    const std::vector<double> sizes{12, 100, 560, 1000, 6700};
    std::vector<Slope> slopes;
    slopes.push_back(
            measureSlope("engines", "cpu_us_per_publish", "engines", sizes, [](double engines) {
                KnownEngines known(engines);
                return microsOf(processorTime([&] { static_cast<void>(known.publish()); }));
            }));
    slopes.push_back(measureSlope("engines", "cpu_us_per_round_of_reports", "engines", sizes,
                                  [](double engines) {
                                      KnownEngines known(engines);
                                      return microsOf(processorTime([&] { known.report(); }));
                                  }));
    slopes.push_back(measureSlope("engines", "bytes", "engines", sizes, [](double engines) {
        KnownEngines known(engines);
        return heapBytes([&] { return known.publish(); });
    }));
    return slopes;
}

std::vector<Slope> measureCustomers()
{
    const std::vector<double> sizes{8, 1000, 4000, 16000};
    std::vector<Slope> slopes;
    slopes.push_back(measureSlope("customers", "cpu_us_per_request", "customers", sizes,
                                  [](double customers) { return identifyMicros(customers); }));
    slopes.push_back(
            measureSlope("bundle", "cpu_us_per_bundle", "customers", sizes, [](double customers) {
                const std::string text =
                        syntheticBundleText(static_cast<std::size_t>(customers), 0);
                return microsOf(processorTime([&] { static_cast<void>(parseBundle(text)); }));
            }));
    slopes.push_back(
            measureSlope("bundle", "bytes_written", "customers", sizes, [](double customers) {
                return static_cast<double>(
                        syntheticBundleText(static_cast<std::size_t>(customers), 0).size());
            }));
    slopes.push_back(measureSlope("bundle", "bytes", "customers", sizes, [](double customers) {
        return heapBytes([&] { return fleetOf(customers); });
    }));
    return slopes;
}

std::vector<Slope> measurePrompts()
{
    const std::vector<double> kilobytes{4, 16, 64, 256};
    return {measureSlope("entry", "cpu_us_per_prompt", "kilobytes", kilobytes, [](double size) {
        const std::string text(static_cast<std::size_t>(size * 1024), 'p');
        const std::vector<std::string_view> messages{text};
        const ChainScope scope{CustomerId("c"), ModelId("m"), WeightsVersion("w")};
        return microsOf(
                processorTime([&] { static_cast<void>(buildPrefixChain(scope, messages)); }));
    })};
}

std::vector<Slope> measureMetrics()
{
    constexpr int Calls = 1000;
    const std::vector<double> sizes{10, 100, 1000, 4000};
    const auto filled = [](Metrics &metrics, double series) {
        for (int i = 0; i < static_cast<int>(series); ++i) {
            metrics.count("requests_total{customer=\"" + std::to_string(i) + "\"}");
        }
    };
    std::vector<Slope> slopes;
    slopes.push_back(
            measureSlope("metrics", "cpu_us_per_count", "series", sizes, [&](double series) {
                Metrics metrics;
                filled(metrics, series);
                const Duration spent = processorTime([&] {
                    for (int i = 0; i < Calls; ++i) {
                        metrics.count("requests_total{customer=\"7\"}");
                    }
                });
                return microsOf(spent) / Calls;
            }));
    slopes.push_back(
            measureSlope("metrics", "cpu_us_per_scrape", "series", sizes, [&](double series) {
                Metrics metrics;
                filled(metrics, series);
                return microsOf(processorTime([&] { static_cast<void>(metrics.text()); }));
            }));
    return slopes;
}

} // namespace vanilladyke
