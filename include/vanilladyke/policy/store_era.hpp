#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <functional>

/// The era of the platform's store, which tells what the store has lost.
///
/// Load pattern: the store is away for a moment and comes back from a copy that is some seconds
/// old. What nodes wrote since is gone, and offsets go back and are given out again. A node that
/// compares offsets of two eras misses records that lie below those that it has read, takes an old
/// record for the newest, and finds a lease free that another node holds. Each loss raises the era,
/// which is in every answer: offsets are compared within one era only, and an answer of an older
/// era than one that is known counts as none.
///
/// A store that names no eras loses nothing, and all its answers count as era 0.
namespace vanilladyke {

/// @brief An era, and the earliest time at which a node is known to have seen it.
struct StoreEraView
{
    std::uint64_t era = 0; ///< 0: the store names none
    TimePoint since;       ///< the store lost nothing acknowledged since; on a clock that counts
                           ///< suspension
};

/// @brief The newest era that a node knows. Pure: no I/O, no clock.
class StoreEra
{
public:
    /// @brief Records the era of an answer.
    /// @return whether the answer counts: none of a newer era is known
    bool observed(std::uint64_t era, TimePoint now);
    /// @brief Records that another node has known an era for @p knownFor.
    void told(std::uint64_t era, Duration knownFor, TimePoint now);
    [[nodiscard]] const StoreEraView &view() const { return m_view; }
    /// @brief Called when a newer era becomes known than one before.
    std::function<void(const StoreEraView &)> onChanged = [](const StoreEraView &) {};

private:
    void begin(std::uint64_t era, TimePoint since);

    StoreEraView m_view;
};

} // namespace vanilladyke
