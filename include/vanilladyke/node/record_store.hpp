#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/node/ports.hpp"
#include "vanilladyke/traffic/asio.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The platform's store as the product needs it: topics of keyed records that can be listed, read
/// on from an offset, and appended to. An adapter implements it.
namespace vanilladyke {

/// @brief One record of a topic of keys: the newest value of a key, or its removal.
struct KeyedRecord
{
    std::string key;
    std::string value;        ///< empty: the key was removed
    std::uint64_t offset = 0; ///< in the topic, if it was listed
};

/// @brief Why a call to the store brought nothing.
enum class StoreError {
    Unavailable, ///< no answer, busy, or an answer that can't be read
    Expired,     ///< the records that were asked for are deleted
};

/// @brief The newest record of each key of a topic.
struct NewestRecords
{
    std::vector<KeyedRecord> items;
    std::uint64_t end = 0; ///< where to read on
};

/// @brief Records that follow an offset.
struct RecordPage
{
    std::uint64_t end = 0; ///< of the topic
    std::vector<std::string> records;
};

/// @brief What became of an append.
struct AppendResult
{
    bool isTaken = false;
    std::uint64_t end = 0; ///< of the topic
};

/// @brief Topics that all nodes follow.
enum class StateTopic {
    Operator, ///< configuration and named weights
    Backends, ///< entries of backend servers
    Nodes,    ///< where nodes hear from each other
    FleetKey, ///< with which nodes sign what they tell each other
};

/// @brief Calls of the store; each topic has a connection of its own, and calls for the operator's
/// records that don't wait have another one, beside the call that does.
class RecordStore
{
public:
    virtual ~RecordStore() = default;
    [[nodiscard]] virtual asio::awaitable<Outcome<NewestRecords, StoreError>>
    newest(StateTopic topic) = 0;
    /// @param wait how long the store may hold the call until there is a record; 0: not at all
    [[nodiscard]] virtual asio::awaitable<Outcome<RecordPage, StoreError>>
    read(StateTopic topic, std::uint64_t from, Duration wait) = 0;
    /// @param at takes effect only if the topic ends there; none: anyhow
    /// @return none if nobody knows whether it took effect
    [[nodiscard]] virtual asio::awaitable<std::optional<AppendResult>>
    append(StateTopic topic, KeyedRecord record, std::optional<std::uint64_t> at) = 0;
};

/// @brief Reads the records in the platform's spelling.
class StateTranslator
{
public:
    virtual ~StateTranslator() = default;
    [[nodiscard]] virtual std::optional<KeyedRecord> split(std::string_view record) const = 0;
    /// @brief The record as it lies in the topic.
    [[nodiscard]] virtual std::string join(const KeyedRecord &record) const = 0;
    /// @param age how long ago it was written, at most; none: nobody knows
    virtual void applyOperator(const KeyedRecord &record, std::optional<Duration> age,
                               StateListener &listener) const = 0;
    /// @return whether anything but the server's sign of life changed
    virtual bool applyBackend(const KeyedRecord &record, StateListener &listener) const = 0;
};

} // namespace vanilladyke
