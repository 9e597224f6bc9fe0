#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <vector>

/// Since when the requests of one engine run, as far as its reports show it.
///
/// A report says how many requests run and wait, not since when. From one report to the next, those
/// that came on top have just begun, and of those that are fewer the oldest have ended.
namespace vanilladyke {

struct LoadReport;

/// @brief Requests that began at about the same time.
struct RequestGroup
{
    TimePoint since;
    std::uint32_t requests = 0;
};

/// @brief Built from each report of one engine in turn. Pure and small.
class SlotAges
{
public:
    static constexpr std::size_t MostGroups = 12;

    void saw(const LoadReport &load);
    /// @brief All that run, oldest first.
    [[nodiscard]] const std::vector<RequestGroup> &groups() const { return m_groups; }
    [[nodiscard]] std::uint32_t running() const;

private:
    void begin(std::uint32_t requests, TimePoint at);
    void endOldest(std::uint32_t requests);
    void mergeNearest();

    std::vector<RequestGroup> m_groups;
    std::uint32_t m_waiting = 0;
};

} // namespace vanilladyke
