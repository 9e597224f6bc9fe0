#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <unordered_map>
#include <vector>

/// Remembers what engines say of themselves in their answers.
///
/// Load pattern: the platform's store is away while an engine is about to leave. Its listing still
/// calls the engine ready, and after the outage it does so until the engine's own record arrives.
/// Nodes that learn of it from the listing alone go on sending, and the engine ends with their
/// requests.
///
/// Kept apart from the listing, by the engine's id: an older listing, or one without the engine,
/// takes nothing back. An engine that starts again has a new id and has said nothing yet.
namespace vanilladyke {

/// @brief What one node tells others about an engine that leaves.
struct LeavingUpdate
{
    std::uint64_t backend = 0; ///< hash of the engine's id
    Duration age{};            ///< of the answer that said so
};

/// @brief Statements of engines, as one node knows them. Pure.
class EngineStatements
{
public:
    /// Longer than an engine serves on after it has said that it leaves.
    static constexpr Duration LeavingRetention = std::chrono::minutes(10);
    /// How long a node tells others what an answer to itself said.
    static constexpr Duration ReportFor = std::chrono::seconds(10);

    /// @brief Records that an answer to this node said that the engine leaves.
    /// @return whether that is new to this node
    bool leavingSaid(std::uint64_t engine, TimePoint now);
    /// @brief Applies what another node told. @return whether that is new to this node
    bool received(const LeavingUpdate &update, TimePoint now);
    [[nodiscard]] bool isLeaving(std::uint64_t engine, TimePoint now) const;
    /// @brief Updates to send, of answers to this node only: what others told ends with them.
    [[nodiscard]] std::vector<LeavingUpdate> pendingUpdates(TimePoint now) const;

private:
    struct Leaving
    {
        TimePoint saidAt;
        bool isOwn = false; ///< an answer to this node said so
    };

    void removeExpired(TimePoint now);

    std::unordered_map<std::uint64_t, Leaving> m_leaving;
};

} // namespace vanilladyke
