#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// When new weights were named, as far as one node can tell.
///
/// Requests may begin on older weights until a time that counts from the naming, and the store
/// keeps no times. A node may hear late: its call to the store is answered at the end of a long
/// wait, or it has just started and finds weights that were named long ago. One that dates them by
/// when it heard sends requests to engines on older weights after their time is over.
///
/// So each node keeps two moments. The weights were named after the one at which the records were
/// last read without them, and no later than the one at which the first node had them. Engines are
/// closed by the earlier bound; what a node knows better than others it tells them.
namespace vanilladyke {

/// @brief What bounds the moment at which weights were named.
struct WeightsDate
{
    std::uint64_t version = 0;
    TimePoint namedAfter; ///< the records that were read then didn't have them
    TimePoint knownAt;    ///< the first moment at which a node is known to have had them

    bool operator==(const WeightsDate &) const = default;
};

/// @brief What the lower bound of a date rests on, the weakest first.
enum class DateGrounds {
    Guess, ///< the node has just started and found them
    Told,  ///< another node's bound; the way here makes it somewhat too late
    Read,  ///< this node's own reading
};

/// @brief The dates of one model's weights, those that still decide something. Pure.
class WeightsDates
{
public:
    /// @brief Takes a date in.
    /// @param allowed from the naming until no request may begin on older weights
    /// @return whether anything changed by it
    bool add(const WeightsDate &date, DateGrounds grounds, TimePoint now, Duration allowed);
    /// @brief When the time is over in which a request may begin on these weights.
    /// @return none if no newer ones were named
    [[nodiscard]] std::optional<TimePoint> endOf(std::uint64_t version, Duration allowed) const;
    /// @brief Whether a node knew of newer weights before @p time.
    [[nodiscard]] bool isReplaced(std::uint64_t version, TimePoint time) const;
    /// @return 0 if none were named
    [[nodiscard]] std::uint64_t newest() const;
    /// @brief What other nodes may rely on: nothing that was guessed.
    [[nodiscard]] std::vector<WeightsDate> toTell() const;

private:
    struct Entry
    {
        WeightsDate date;
        DateGrounds grounds = DateGrounds::Guess;
    };

    using Entries = std::vector<Entry>;

    [[nodiscard]] Entries::iterator placeOf(std::uint64_t version);
    [[nodiscard]] static bool improve(Entry *entry, const WeightsDate &date, DateGrounds grounds);
    /// Drops what is older than weights whose own time is over: it decides nothing any more.
    void forgetDecided(TimePoint now, Duration allowed);

    Entries m_entries; ///< oldest version first
};

} // namespace vanilladyke
