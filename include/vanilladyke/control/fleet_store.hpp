#pragma once

#include "vanilladyke/model/fleet.hpp"

#include <atomic>
#include <memory>

namespace vanilladyke {

/// @brief The one place where the control thread publishes the fleet and traffic threads read it.
class FleetStore
{
public:
    /// @brief The fleet as last published; never null.
    [[nodiscard]] std::shared_ptr<const Fleet> current() const { return m_fleet.load(); }
    void publish(std::shared_ptr<const Fleet> fleet) { m_fleet.store(std::move(fleet)); }

private:
    std::atomic<std::shared_ptr<const Fleet>> m_fleet{std::make_shared<const Fleet>()};
};

} // namespace vanilladyke
