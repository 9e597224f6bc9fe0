#pragma once

#include "vanilladyke/app/settings.hpp"
#include "vanilladyke/control/bundle_controller.hpp"
#include "vanilladyke/control/bundle_log.hpp"
#include "vanilladyke/operators/operator_server.hpp"

#include <optional>

namespace vanilladyke {

/// @brief The two threads that append to and read the log's bundle stream. A node without a log
/// has neither.
class BundleLog
{
public:
    BundleLog(const std::optional<PlatformSettings> &platform, Inbox &inbox);

    void startReading();
    void append(std::string record);

private:
    const std::optional<PlatformSettings> &m_platform;
    Inbox &m_inbox;
    std::optional<CheckpointAppender> m_appender;
    std::optional<BundleLogTail> m_tail;
};

[[nodiscard]] BundleControl bundleControl(const HostSettings &settings, BundleLog &log);

[[nodiscard]] OperatorContext operatorContext(const HostSettings &settings, const FleetStore &fleet,
                                              const BundleStatusStore &board,
                                              const Metrics &metrics);

} // namespace vanilladyke
