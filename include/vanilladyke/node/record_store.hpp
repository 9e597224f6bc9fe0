#pragma once

#include "vanilladyke/base/outcome.hpp"
#include "vanilladyke/node/ports.hpp"
#include "vanilladyke/traffic/asio.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Interface to the platform's store: topics of keyed records that can be listed, read from an
/// offset, and appended to. An adapter implements it.
namespace vanilladyke {

/// @brief One record of a keyed topic: the new value of a key, or its removal.
struct KeyedRecord
{
    std::string key;
    std::string value;        ///< empty: the key was removed
    std::uint64_t offset = 0; ///< in the topic, if it was read from there
};

/// @brief Why a call to the store failed.
enum class StoreError {
    Unavailable, ///< no answer, busy, or a malformed answer
    Expired,     ///< the requested records are deleted
};

/// @brief The newest record of each key of a topic.
struct NewestRecords
{
    std::vector<KeyedRecord> items;
    std::uint64_t end = 0;    ///< offset from which to continue reading
    std::uint64_t era = 0;    ///< of the store; offsets hold in one era only
    bool hadFailures = false; ///< the store left a part of the listing unanswered at first
};

/// @brief Consecutive records from an offset on.
struct RecordPage
{
    std::uint64_t end = 0; ///< of the topic
    std::vector<std::string> records;
    std::uint64_t era = 0; ///< of the store
};

/// @brief Result of an append.
struct AppendResult
{
    bool isAccepted = false;
    std::uint64_t end = 0; ///< of the topic
    std::uint64_t era = 0; ///< of the store
};

/// @brief Topics that all nodes follow.
enum class StateTopic {
    Operator, ///< configuration and announced weights
    Backends, ///< entries of backend servers
    Nodes,    ///< endpoints for datagrams between nodes
    FleetKey, ///< the key that signs datagrams between nodes
    Software, ///< software versions of each service that may have begun streams
};

/// @brief Calls to the store. Each topic has its own connection; reads of the operator's records
/// that don't wait use another one, so that the waiting call doesn't block them.
class RecordStore
{
public:
    virtual ~RecordStore() = default;
    /// @brief The newest record of each key.
    [[nodiscard]] virtual asio::awaitable<Outcome<NewestRecords, StoreError>>
    newest(StateTopic topic) = 0;
    /// @brief Records from offset @p from on.
    /// @param wait how long the store may hold the call until there is a record; 0: not at all
    [[nodiscard]] virtual asio::awaitable<Outcome<RecordPage, StoreError>>
    read(StateTopic topic, std::uint64_t from, Duration wait) = 0;
    /// @param at appends only if the topic ends at this offset; none: unconditionally
    /// @return none if it is unknown whether the append took effect
    [[nodiscard]] virtual asio::awaitable<std::optional<AppendResult>>
    append(StateTopic topic, KeyedRecord record, std::optional<std::uint64_t> at) = 0;
};

/// @brief Decodes and encodes records in the platform's format.
class StateTranslator
{
public:
    virtual ~StateTranslator() = default;
    /// @return none if the record is malformed
    [[nodiscard]] virtual std::optional<KeyedRecord> split(std::string_view record) const = 0;
    /// @brief The record as stored in the topic.
    [[nodiscard]] virtual std::string join(const KeyedRecord &record) const = 0;
    /// @param age upper bound of the record's age; none: unknown
    virtual void applyOperator(const KeyedRecord &record, std::optional<Duration> age,
                               StateListener &listener) const = 0;
    /// @param era of the store in which the record's offset holds
    /// @return whether nodes that are told of changes only need the record
    virtual bool applyBackend(const KeyedRecord &record, std::uint64_t era,
                              StateListener &listener) const = 0;
};

} // namespace vanilladyke
