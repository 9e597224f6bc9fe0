#pragma once

#include "vanilladyke/control/events.hpp"

namespace vanilladyke {

/// @brief Holds the bundle in force; a lower version never replaces a higher one.
class BundleController
{
public:
    void handle(const Event &event, TimePoint now);
    void contribute(Fleet &fleet, TimePoint now) const;

private:
    std::shared_ptr<const Bundle> m_bundle;
};

} // namespace vanilladyke
