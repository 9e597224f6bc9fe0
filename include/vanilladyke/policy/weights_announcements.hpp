#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Bounds on the time at which new weights were announced, as seen by one node.
///
/// Requests may start on older weights only for a limited time after the announcement, and the
/// store keeps no timestamps. A node may receive an announcement late: its long-polling call is
/// answered at the end of the wait, or the node has just started and reads weights that were
/// announced long before. Counting from the time of receipt would let it send requests to engines
/// with outdated weights after the deadline.
///
/// Each node therefore keeps two bounds. The weights were announced after the last read of the
/// records that did not contain them, and no later than the first receipt by any node. Engines are
/// excluded by the earlier bound. Nodes exchange their bounds, and the better one is kept.
namespace vanilladyke {

/// @brief Bounds on the time at which a version of the weights was announced.
struct WeightsAnnouncement
{
    std::uint64_t version = 0;
    TimePoint announcedAfter;  ///< last read of the records that did not contain them
    TimePoint firstReceivedAt; ///< earliest known receipt by any node

    bool operator==(const WeightsAnnouncement &) const = default;
};

/// @brief Where the lower bound comes from, the least reliable source first.
enum class AnnouncementSource {
    Estimated, ///< the node has just started and found the weights in the store
    Reported,  ///< received from another node; too late by the time of the transfer
    Read,      ///< from this node's own reads of the store
};

/// @brief The announcements of one model's weights that still affect a deadline. Pure: performs no
/// I/O.
class WeightsAnnouncements
{
public:
    /// @brief Adds an announcement or improves the bounds of a known one.
    /// @param allowed time from the announcement in which requests may start on older weights
    /// @return whether anything changed
    bool add(const WeightsAnnouncement &announcement, AnnouncementSource source, TimePoint now,
             Duration allowed);
    /// @brief The deadline for starting requests on this version.
    /// @return none if no newer version was announced
    [[nodiscard]] std::optional<TimePoint> deadlineOf(std::uint64_t version,
                                                      Duration allowed) const;
    /// @brief Whether any node had received a newer version before @p time.
    [[nodiscard]] bool isSuperseded(std::uint64_t version, TimePoint time) const;
    /// @return the newest announced version; 0 if none was announced
    [[nodiscard]] std::uint64_t newest() const;
    /// @brief The bounds to send to other nodes; excludes estimates.
    [[nodiscard]] std::vector<WeightsAnnouncement> reportable() const;

private:
    struct Entry
    {
        WeightsAnnouncement announcement;
        AnnouncementSource source = AnnouncementSource::Estimated;
    };

    using Entries = std::vector<Entry>;

    [[nodiscard]] Entries::iterator lowerBound(std::uint64_t version);
    [[nodiscard]] static bool improve(Entry *entry, const WeightsAnnouncement &announcement,
                                      AnnouncementSource source);
    /// Removes versions older than one announced more than @p allowed ago: they no longer affect a
    /// deadline.
    void removeObsolete(TimePoint now, Duration allowed);

    Entries m_entries; ///< oldest version first
};

} // namespace vanilladyke
