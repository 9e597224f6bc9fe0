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
/// An overloaded engine turns a request away and names the time in which it wants nothing from this
/// node. With a pause of the node's own choice it would be asked again and again meanwhile. Rest is
/// a matter between the engine and one node, and not told to others.
///
/// Kept apart from the listing, by the engine's id: an older listing, or one without the engine,
/// takes nothing back. An engine that starts again, under a new id or the same, has said nothing
/// yet.
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
    /// A longer rest is cut to this, so that a broken value excludes no engine for good.
    static constexpr Duration MaxRest = std::chrono::minutes(5);
    /// How long a node tells others what an answer to itself said.
    static constexpr Duration ReportFor = std::chrono::seconds(10);

    /// @brief Records that an answer to this node said that the engine leaves.
    /// @return whether that is new to this node
    bool leavingSaid(std::uint64_t engine, TimePoint now);
    /// @brief Applies what another node told. @return whether that is new to this node
    bool received(const LeavingUpdate &update, TimePoint now);
    /// @brief The engine started again under its id: what it said before doesn't hold.
    void startedAgain(std::uint64_t engine, TimePoint now);
    [[nodiscard]] bool isLeaving(std::uint64_t engine, TimePoint now) const;
    /// @brief Records that the engine turned a request of this node away and asked for rest.
    /// @return the end of its rest
    TimePoint restAsked(std::uint64_t engine, Duration rest, TimePoint now);
    /// @brief End of the engine's rest; in the past if it has asked for none.
    [[nodiscard]] TimePoint restUntil(std::uint64_t engine) const;
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
    std::unordered_map<std::uint64_t, TimePoint> m_restUntil;
    std::unordered_map<std::uint64_t, TimePoint> m_startedAt; ///< of those that started again
};

} // namespace vanilladyke
