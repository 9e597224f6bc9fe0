#include "vanilladyke/capacity/measurements.hpp"
#include "vanilladyke/capacity/synthetic_bundle.hpp"
#include "vanilladyke/control/engine_controller.hpp"
#include "vanilladyke/policy/cache_view.hpp"
#include "vanilladyke/policy/claim_fold.hpp"
#include "vanilladyke/policy/fair_queue.hpp"
#include "vanilladyke/policy/membership.hpp"
#include "vanilladyke/policy/placement.hpp"

#include <algorithm>
#include <memory>

namespace vanilladyke {

namespace {

constexpr std::uint64_t Seed = 5;
constexpr std::uint32_t Cuts = 16;
const TimePoint now{std::chrono::seconds(1000)};

double microsOf(Duration time)
{
    return std::chrono::duration<double, std::micro>(time).count();
}

PrefixChain syntheticChain(std::size_t prompt)
{
    PrefixChain chain;
    for (std::uint32_t cut = 1; cut <= Cuts; ++cut) {
        chain.push_back({{mixBits(prompt), mixBits(prompt * Cuts + cut)}, cut * 512});
    }
    return chain;
}

/// A fleet in which every engine is ready.
std::shared_ptr<const Fleet> readyFleet(std::size_t engines)
{
    EngineController controller;
    auto fleet = std::make_shared<Fleet>();
    fleet->bundle = std::make_shared<const Bundle>(syntheticBundle(0, engines));
    for (const EngineEntry &engine : fleet->bundle->engines) {
        controller.handle(
                EngineReported{
                        engine.id, Incarnation{1}, {{ModelId("model"), WeightsVersion("w1")}}, {}},
                now);
    }
    controller.contribute(*fleet, now);
    return fleet;
}

double placementMicros(double engines)
{
    constexpr std::size_t Calls = 500;
    const auto fleet = readyFleet(static_cast<std::size_t>(engines));
    CacheView view(1U << 20U);
    Random random(Seed);
    std::vector<PlacementRequest> requests;
    for (std::size_t i = 0; i < Calls; ++i) {
        PlacementRequest request;
        request.model = ModelId("model");
        request.chain = syntheticChain(i);
        request.promptTokens = request.chain.back().tokens;
        const EngineView &holder = fleet->engines[uniformBelow(random, fleet->engines.size())];
        view.setIncarnation(holder.key, holder.incarnation, now);
        view.stored(holder.key, holder.incarnation, request.chain[Cuts / 2].hash, now);
        requests.push_back(std::move(request));
    }
    const Survival survival;
    const InFlight inFlight;
    const SlotForecast slots;
    const Duration spent = processorTime([&] {
        for (const PlacementRequest &request : requests) {
            const auto holders = view.holders(request.chain, now);
            static_cast<void>(place(request, *fleet, {holders, survival, inFlight, slots, 1, {}},
                                    now, random));
        }
    });
    return microsOf(spent) / Calls;
}

double cacheEventMicros(double entries)
{
    constexpr std::uint64_t Events = 10'000;
    const EngineKey engine = engineKeyOf(EngineId("e"));
    CacheView view(static_cast<std::size_t>(entries) * CacheView::EntryBytes);
    view.setIncarnation(engine, Incarnation{1}, now);
    std::uint64_t next = 0;
    const Duration spent = processorTime([&] {
        for (std::uint64_t i = 0; i < Events; ++i) {
            ++next;
            view.stored(engine, Incarnation{1}, {mixBits(next), mixBits(next * 3)}, now);
        }
    });
    return microsOf(spent) / Events;
}

QueuedJob syntheticJob(std::size_t index, std::size_t customers)
{
    QueuedJob job;
    job.ticket = QueueTicket{index};
    job.customer = CustomerId("customer-" + std::to_string(index % customers));
    job.cost = std::chrono::milliseconds(50);
    job.latestStart = now + std::chrono::seconds(10);
    return job;
}

double queueMicros(double customers)
{
    constexpr std::size_t Jobs = 20'000;
    const Duration spent = processorTime([&] {
        FairQueue queue(Jobs);
        for (std::size_t i = 0; i < Jobs; ++i) {
            static_cast<void>(queue.push(syntheticJob(i, static_cast<std::size_t>(customers))));
        }
        while (queue.pop()) {
        }
    });
    return microsOf(spent) / Jobs;
}

ClaimBatch syntheticClaims(std::size_t count)
{
    Random random(Seed);
    ClaimBatch batch;
    for (std::size_t i = 0; i < count; ++i) {
        Claim claim;
        claim.key = {CustomerId("customer"), ServiceId("booking"),
                     newUuidV7(WallTime(std::chrono::seconds(1'700'000'000)), random)};
        claim.nonce = {ProcessId("process"), i};
        claim.node = NodeId("node-1");
        claim.request = RequestDigest("0123456789abcdef0123456789abcdef");
        batch.emplace_back(std::move(claim));
    }
    return batch;
}

std::shared_ptr<ClaimFold> foldOf(const ClaimBatch &batch)
{
    auto fold = std::make_shared<ClaimFold>();
    fold->apply(0, batch);
    return fold;
}

std::shared_ptr<Membership> membershipOf(std::size_t nodes)
{
    Member self;
    self.node = NodeId("self");
    auto membership = std::make_shared<Membership>(self, std::vector<Endpoint>{});
    for (std::size_t i = 0; i < nodes; ++i) {
        Member other;
        other.node = NodeId("node-" + std::to_string(i));
        other.dataCentre = DataCentreId("ikeja-hall");
        other.peers = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
        other.operators = other.peers;
        static_cast<void>(membership->receive({other, {}, {}, Ack{}}, {}, now));
    }
    return membership;
}

} // namespace

std::vector<Slope> measurePlacement()
{
    return {
            measureSlope("placement", "cpu_us_per_decision", "engines", {12, 100, 560, 1000, 6700},
                         placementMicros),
            measureSlope("cache_view", "cpu_us_per_event", "entries",
                         {16'384, 65'536, 262'144, 1'048'576}, cacheEventMicros),
            measureSlope("cache_view", "bytes", "entries", {16'384, 65'536, 262'144, 1'048'576},
                         [](double entries) {
                             return heapBytes([&] {
                                 return std::make_unique<CacheView>(
                                         static_cast<std::size_t>(entries) * CacheView::EntryBytes);
                             });
                         }),
    };
}

std::vector<Slope> measureQueue()
{
    return {measureSlope("queue", "cpu_us_per_job", "customers", {8, 1000, 4000, 16'000},
                         queueMicros)};
}

std::vector<Slope> measureClaims()
{
    const std::vector<double> sizes{1000, 4000, 16'000, 64'000};
    return {
            measureSlope(
                    "claims", "cpu_us_per_claim", "claims", sizes,
                    [](double claims) {
                        const ClaimBatch batch = syntheticClaims(static_cast<std::size_t>(claims));
                        return microsOf(processorTime([&] { static_cast<void>(foldOf(batch)); }))
                               / claims;
                    }),
            measureSlope("claims", "bytes", "claims", sizes,
                         [](double claims) {
                             const ClaimBatch batch =
                                     syntheticClaims(static_cast<std::size_t>(claims));
                             return heapBytes([&] { return foldOf(batch); });
                         }),
    };
}

std::vector<Slope> measureMembers()
{
    return {measureSlope("membership", "bytes", "nodes", {9, 34, 100, 410}, [](double nodes) {
        return heapBytes([&] { return membershipOf(static_cast<std::size_t>(nodes)); });
    })};
}

} // namespace vanilladyke
