#include "vanilladyke/control/bundle_controller.hpp"

#include "vanilladyke/base/log.hpp"

namespace vanilladyke {

void BundleController::handle(const Event &event, TimePoint /*now*/)
{
    const auto *accepted = std::get_if<BundleAccepted>(&event);
    if (accepted == nullptr) {
        return;
    }
    if (m_bundle && accepted->bundle->version <= m_bundle->version) {
        return;
    }
    m_bundle = accepted->bundle;
    LogEvent("bundle_in_force").field("version", m_bundle->version);
}

void BundleController::contribute(Fleet &fleet, TimePoint /*now*/) const
{
    fleet.bundle = m_bundle;
}

} // namespace vanilladyke
