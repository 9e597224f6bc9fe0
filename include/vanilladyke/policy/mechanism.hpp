#pragma once

#include <array>
#include <optional>
#include <string_view>

/// Mechanisms of a node's decisions that can be switched off one by one, to measure what each is
/// worth. A node in service has all of them on.
namespace vanilladyke {

/// @brief What can be switched off.
enum class Mechanism {
    Homes,            ///< a shared part has a first engine that all nodes agree on
    NestedHomes,      ///< parts that begin alike have one home
    CopyCharge,       ///< a charge for a second copy of a part in the engines' memories
    KeptStore,        ///< saving to and fetching from the kept-cache store
    EngineFetch,      ///< fetching a part from another engine
    Urgency,          ///< what is less urgent does not count as waited for
    Pace,             ///< the engines' reading speed is learned
    Slowness,         ///< how much slower than its service an engine is, is learned
    WaitLimit,        ///< a request that would wait for a part of its target is refused
    LoadNews,         ///< what other nodes have at engines counts as this node's own
    PlacementNews,    ///< where other nodes sent shared parts is believed
    OwnDataCentre,    ///< a charge for engines in another data centre
    SilenceCharge,    ///< a charge for engines that answer nothing
    FailureCharge,    ///< a charge for engines that fail requests
    OldWeightsCharge, ///< a charge for engines whose weights were replaced
    PacedRollout,     ///< a part of the engines loads at a time
    Withdrawal,       ///< a request that has not begun when its weights' time ends is withdrawn
    SecondSends,      ///< a request that may be repeated goes to a second engine
    Resumes,          ///< a stream that broke off goes on at another engine
    EngineLimits,     ///< engines get no more than the limit that they name
    Quarantine,       ///< requests under which engines end are sent to no engine
    SharedReading,    ///< one node reads the store for others
};

/// @brief A mechanism and its name in the settings.
struct MechanismName
{
    Mechanism mechanism;
    std::string_view name;
};

inline constexpr std::array<MechanismName, 22> MechanismNames{{
        {Mechanism::Homes, "homes"},
        {Mechanism::NestedHomes, "nested_homes"},
        {Mechanism::CopyCharge, "copy_charge"},
        {Mechanism::KeptStore, "kept_store"},
        {Mechanism::EngineFetch, "engine_fetch"},
        {Mechanism::Urgency, "urgency"},
        {Mechanism::Pace, "pace"},
        {Mechanism::Slowness, "slowness"},
        {Mechanism::WaitLimit, "wait_limit"},
        {Mechanism::LoadNews, "load_news"},
        {Mechanism::PlacementNews, "placement_news"},
        {Mechanism::OwnDataCentre, "own_data_centre"},
        {Mechanism::SilenceCharge, "silence_charge"},
        {Mechanism::FailureCharge, "failure_charge"},
        {Mechanism::OldWeightsCharge, "old_weights_charge"},
        {Mechanism::PacedRollout, "paced_rollout"},
        {Mechanism::Withdrawal, "withdrawal"},
        {Mechanism::SecondSends, "second_sends"},
        {Mechanism::Resumes, "resumes"},
        {Mechanism::EngineLimits, "engine_limits"},
        {Mechanism::Quarantine, "quarantine"},
        {Mechanism::SharedReading, "shared_reading"},
}};

/// @return none if no mechanism has that name
[[nodiscard]] constexpr std::optional<Mechanism> mechanismNamed(std::string_view name)
{
    for (const MechanismName &each : MechanismNames) {
        if (each.name == name) {
            return each.mechanism;
        }
    }
    return std::nullopt;
}

} // namespace vanilladyke
