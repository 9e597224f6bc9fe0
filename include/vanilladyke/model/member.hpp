#pragma once

#include "vanilladyke/model/ids.hpp"

#include <cstdint>
#include <tuple>

/// Nodes as their peers know them.
namespace vanilladyke {

/// @brief Where a node is in its life, by its own word.
enum class Phase { Starting, Ready, Leaving };

/// @brief What the others make of a node; a higher value overrides a lower one of the same
/// revision.
enum class Liveness { Alive, Suspect, Dead };

/// @brief One node.
struct Member
{
    NodeId node;
    DataCentreId dataCentre;
    Endpoint peers; ///< where its peers reach it
    Endpoint operators;
    Incarnation incarnation{};  ///< this life of the process: microseconds since 1970 at its start
    std::uint32_t revision = 0; ///< raised by the node itself to correct what is told of it
    Phase phase = Phase::Starting;
    Liveness liveness = Liveness::Alive;
    std::uint64_t bundleVersion = 0; ///< in force there; 0 for none

    bool operator==(const Member &) const = default;
};

/// @brief Whether news of a node replaces what is known of it.
[[nodiscard]] inline bool isNewer(const Member &news, const Member &known)
{
    const auto rank = [](const Member &member) {
        return std::tuple(member.incarnation, member.revision, member.liveness);
    };
    return rank(news) > rank(known);
}

} // namespace vanilladyke
