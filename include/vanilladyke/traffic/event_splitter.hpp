#pragma once

#include <string>
#include <string_view>

/// Cuts a stream of server-sent events into whole events.
namespace vanilladyke {

/// @brief Holds back the beginning of an event until its end has come.
class EventSplitter
{
public:
    /// @brief Takes in bytes. @return all events that are whole now, as they came
    [[nodiscard]] std::string feed(std::string_view bytes);
    /// @brief The id of the last whole event; empty if none had one.
    [[nodiscard]] const std::string &lastId() const { return m_lastId; }
    /// @brief Whether an event has begun that is not whole.
    [[nodiscard]] bool isInside() const { return !m_pending.empty(); }
    /// @brief The bytes of the event that has begun, which are then forgotten.
    [[nodiscard]] std::string takePending();

private:
    void readIds(std::string_view events);

    std::string m_pending;
    std::string m_lastId;
};

} // namespace vanilladyke
