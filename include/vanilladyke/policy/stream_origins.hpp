#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Which software version began a stream, so that the stream can go on at that version.
///
/// Load pattern: servers of two software versions serve one service side by side during a rollout,
/// nodes restart, and callers take their broken streams up at any node. What two versions write
/// does not fit together, and nothing in a request shows which version began its stream. The node
/// that passes a stream's first event on therefore records its version and tells two other nodes;
/// see origin_homes.hpp. A record lives as long as the caller may come back.
namespace vanilladyke {

/// @brief The version that began the stream of one attempt of a caller.
struct StreamOrigin
{
    std::uint64_t attempt = 0;  ///< attemptKey() of the attempt that brought the first event
    std::uint64_t software = 0; ///< softwareKey() of the server that wrote it
    TimePoint until;            ///< the caller does not come back later
};

/// @brief Hash of a caller's attempt id.
[[nodiscard]] std::uint64_t attemptKey(std::string_view attempt);
/// @brief Hash of a software version's name.
[[nodiscard]] std::uint64_t softwareKey(std::string_view version);

/// @brief The origins that one node knows. Pure: no I/O, no clock.
class StreamOrigins
{
public:
    /// A caller that states no deadline may come back for this long.
    static constexpr Duration MaxLifetime = std::chrono::minutes(5);
    /// Bounds the memory to a few megabytes; the oldest record gives way.
    static constexpr std::size_t MaxStreams = 65'536;

    /// @brief Records an origin. What was recorded first for an attempt holds.
    void record(const StreamOrigin &origin, TimePoint now);
    /// @return the software version that began the attempt's stream; none if not known
    [[nodiscard]] std::optional<std::uint64_t> find(std::uint64_t attempt, TimePoint now) const;
    /// @brief The origins whose callers may still come back.
    [[nodiscard]] std::vector<StreamOrigin> live(TimePoint now) const;
    [[nodiscard]] std::size_t size() const { return m_byAttempt.size(); }

private:
    /// Removes what has expired, oldest records first, and one more if there is no room.
    void makeRoom(TimePoint now);

    std::unordered_map<std::uint64_t, StreamOrigin> m_byAttempt;
    std::deque<std::uint64_t> m_order; ///< attempts in the order of their records
};

} // namespace vanilladyke
