#pragma once

#include "vanilladyke/node/follow_context.hpp"
#include "vanilladyke/node/read_sharing.hpp"

#include <atomic>

/// Follows the operator's records: the configuration and the announced weights.
namespace vanilladyke {

/// @brief Reads the records from the store whenever the reader doesn't send them, and reports them
/// to the listener. Runs on the control thread.
class OperatorFollower
{
public:
    /// @param context, sharing must outlive the follower
    OperatorFollower(FollowContext &context, const ReadSharing &sharing)
        : m_context(context)
        , m_sharing(sharing)
    {}

    /// @brief Follows the topic until the followers are stopped.
    [[nodiscard]] asio::awaitable<void> follow();
    [[nodiscard]] const FollowedTopic &topic() const { return m_topic; }
    /// @brief The offset up to which the records were read. Thread-safe.
    [[nodiscard]] std::uint64_t next() const { return m_publishedNext; }
    /// @brief The store's era in which that offset holds. Thread-safe; to be read before it.
    [[nodiscard]] std::uint64_t era() const { return m_publishedEra; }
    /// @brief Another node has read the records up to this offset of this era. If the store doesn't
    /// answer this node's waiting call soon, a second call reads them.
    void receivedNext(std::uint64_t era, std::uint64_t next);
    /// @brief Whether the freshness proof of another node is too old to replace an own call.
    [[nodiscard]] bool isTooOld(const std::optional<RecordRelay::Updates> &updates) const;
    /// @brief Applies another node's answer; none if it lacks this topic.
    /// @param requestedAt when the answer was requested
    void applyAnswer(const std::optional<RecordRelay::Updates> &updates, TimePoint requestedAt);

private:
    [[nodiscard]] asio::awaitable<void> read(BackOff &backOff);
    [[nodiscard]] asio::awaitable<bool> list();
    [[nodiscard]] asio::awaitable<void> catchUp();
    /// How long a reader's call waits for the next record.
    [[nodiscard]] Duration readerWait(TimePoint now) const;
    /// @param age upper bound of the record's age
    /// @param by source of the record, for the log
    void apply(std::uint64_t offset, const std::string &record, Duration age, std::string_view by);
    /// @param from offset of the page's first record
    /// @param provedAt time up to which the page is known to be complete
    void applyPage(const RecordPage &page, std::uint64_t from, TimePoint provedAt);
    void applyUpdates(const RecordRelay::Updates &updates, TimePoint requestedAt);
    void renewProof(TimePoint at);
    void setNext(std::uint64_t next);

    FollowContext &m_context;
    const ReadSharing &m_sharing;
    FollowedTopic m_topic;
    TimePoint m_listedAt = TimePoint(); ///< when the records were last listed
    std::uint64_t m_receivedNext = 0;   ///< highest offset up to which another node has read
    std::uint64_t m_rejectedNext = 0;   ///< received offsets up to here exceed the store's end
    bool m_isCatchingUp = false;        ///< with the offset received from another node
    std::atomic<std::uint64_t> m_publishedNext{0}; ///< m_topic.next for other threads
    std::atomic<std::uint64_t> m_publishedEra{0};  ///< m_topic.era for other threads
};

} // namespace vanilladyke
