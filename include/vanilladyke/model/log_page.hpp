#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Records of one stream of the platform's log, as readers get them.
namespace vanilladyke {

/// @brief A place in one stream of the log; 0 is the first record ever.
using LogOffset = std::uint64_t;

/// @brief One record as it stands in the log.
struct LogRecord
{
    LogOffset offset = 0;
    WallTime appendedAt; ///< by the log's clock
    std::string data;
};

/// @brief A part of a stream.
struct LogPage
{
    LogOffset firstOffset = 0; ///< the oldest record still kept
    LogOffset nextOffset = 0;  ///< what the next append will get
    std::vector<LogRecord> records;
};

} // namespace vanilladyke
