#pragma once

#include <array>
#include <optional>
#include <string_view>

/// Mechanisms of a node's decisions that can be switched off one by one, to measure the effect of
/// each. In production all of them are on.
namespace vanilladyke {

/// @brief A mechanism that can be switched off.
enum class Mechanism {
    PreferredEngines,       ///< a shared part has a preferred engine, the same for all nodes
    NestedPreferredEngines, ///< parts with a common beginning share one preferred engine
    CopyCharge,             ///< cost of a second copy of a part in the engines' memory
    KeptStore,              ///< saving to and fetching from the kept-cache store
    EngineFetch,            ///< fetching a part from another engine
    Urgency,                ///< less urgent requests are not counted as backlog ahead
    PrefillThroughput,      ///< learns the prefill throughput of engines
    Slowdown,               ///< learns the slowdown of an engine relative to its service
    WaitLimit,              ///< refuses a request whose wait exceeds a fraction of its target
    LoadUpdates,            ///< load updates of other nodes count like own load
    PlacementUpdates,       ///< uses the placements of shared parts that other nodes reported
    OwnDataCentre,          ///< cost of engines in another data centre
    UnresponsiveCharge,     ///< cost of unresponsive engines
    FailureCharge,          ///< cost of engines that fail requests
    OldWeightsCharge,       ///< cost of engines whose weights were replaced
    PacedRollout,           ///< only a fraction of the engines loads weights at a time
    Withdrawal,             ///< withdraws requests not started when the time of their weights ends
    Retries,                ///< retries repeatable requests on a second engine
    Resumes,                ///< continues a broken stream on another engine
    EngineLimits,           ///< keeps to the request limit that an engine announces
    Quarantine,             ///< sends no request under which engines terminated
    Relays,                 ///< hands requests to other nodes where it reaches no server
    SharedStoreReads,       ///< one node reads the store on behalf of others
};

/// @brief A mechanism and its name in the settings.
struct MechanismName
{
    Mechanism mechanism;
    std::string_view name;
};

inline constexpr std::array<MechanismName, 23> MechanismNames{{
        {Mechanism::PreferredEngines, "homes"},
        {Mechanism::NestedPreferredEngines, "nested_homes"},
        {Mechanism::CopyCharge, "copy_charge"},
        {Mechanism::KeptStore, "kept_store"},
        {Mechanism::EngineFetch, "engine_fetch"},
        {Mechanism::Urgency, "urgency"},
        {Mechanism::PrefillThroughput, "pace"},
        {Mechanism::Slowdown, "slowness"},
        {Mechanism::WaitLimit, "wait_limit"},
        {Mechanism::LoadUpdates, "load_news"},
        {Mechanism::PlacementUpdates, "placement_news"},
        {Mechanism::OwnDataCentre, "own_data_centre"},
        {Mechanism::UnresponsiveCharge, "silence_charge"},
        {Mechanism::FailureCharge, "failure_charge"},
        {Mechanism::OldWeightsCharge, "old_weights_charge"},
        {Mechanism::PacedRollout, "paced_rollout"},
        {Mechanism::Withdrawal, "withdrawal"},
        {Mechanism::Retries, "second_sends"},
        {Mechanism::Resumes, "resumes"},
        {Mechanism::EngineLimits, "engine_limits"},
        {Mechanism::Quarantine, "quarantine"},
        {Mechanism::Relays, "relays"},
        {Mechanism::SharedStoreReads, "shared_reading"},
}};

/// @return none if no mechanism has that name
[[nodiscard]] constexpr std::optional<Mechanism> findMechanism(std::string_view name)
{
    for (const MechanismName &each : MechanismNames) {
        if (each.name == name) {
            return each.mechanism;
        }
    }
    return std::nullopt;
}

} // namespace vanilladyke
