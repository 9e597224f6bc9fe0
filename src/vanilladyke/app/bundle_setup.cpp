#include "vanilladyke/app/bundle_setup.hpp"

namespace vanilladyke {

BundleLog::BundleLog(const std::optional<PlatformSettings> &platform, Inbox &inbox)
    : m_platform(platform)
    , m_inbox(inbox)
{
    if (platform) {
        m_appender.emplace(platform->log);
    }
}

void BundleLog::startReading()
{
    if (m_platform) {
        m_tail.emplace(m_platform->log, m_inbox);
    }
}

void BundleLog::append(std::string record)
{
    if (m_appender) {
        m_appender->append(std::move(record));
    }
}

BundleControl bundleControl(const HostSettings &settings, BundleLog &log)
{
    BundleControl control;
    control.node = settings.node;
    control.trusted = settings.trusted;
    if (settings.platform) {
        control.logRetention = settings.platform->logRetention;
    }
    control.appendCheckpoint = [&log](std::string record) { log.append(std::move(record)); };
    return control;
}

OperatorContext operatorContext(const HostSettings &settings, const FleetStore &fleet,
                                const BundleStatusStore &board, const Metrics &metrics)
{
    PublishSettings publishing;
    publishing.trusted = settings.trusted;
    if (settings.platform) {
        publishing.log = settings.platform->log;
    }
    return {settings.node, settings.operatorKeys, std::move(publishing), fleet, board, metrics, {}};
}

} // namespace vanilladyke
