#pragma once

#include "vanilladyke/model/fleet.hpp"

#include <atomic>
#include <memory>

namespace vanilladyke {

/// @brief Holds the current Fleet: written by the control thread, read by traffic threads.
/// Thread-safe.
class FleetStore
{
public:
    /// @brief The last published fleet; never null.
    [[nodiscard]] std::shared_ptr<const Fleet> current() const { return m_fleet.load(); }
    void publish(std::shared_ptr<const Fleet> fleet) { m_fleet.store(std::move(fleet)); }

private:
    std::atomic<std::shared_ptr<const Fleet>> m_fleet{std::make_shared<const Fleet>()};
};

} // namespace vanilladyke
