#pragma once

#include "vanilladyke/node/follow_context.hpp"
#include "vanilladyke/node/read_sharing.hpp"

/// Follows the entries of backend servers.
namespace vanilladyke {

/// @brief Reads the entries from the store whenever the reader doesn't send them, and reports them
/// to the listener. Runs on the control thread.
class BackendsFollower
{
public:
    /// @param context, sharing must outlive the follower
    BackendsFollower(FollowContext &context, const ReadSharing &sharing)
        : m_context(context)
        , m_sharing(sharing)
        , m_pause(context.io)
    {}

    /// @brief Follows the topic until the followers are stopped.
    [[nodiscard]] asio::awaitable<void> follow();
    /// @brief Reads the entries soon, by a call that begins at @p since or later. The listener
    /// hears whether it succeeded.
    void readSince(TimePoint since);
    [[nodiscard]] const FollowedTopic &topic() const { return m_topic; }
    /// @brief Whether the freshness proof of another node is too old to replace an own call.
    [[nodiscard]] bool isTooOld(const std::optional<RecordRelay::Updates> &updates) const;
    /// @brief Applies another node's answer; none if it lacks this topic.
    /// @param requestedAt when the answer was requested
    void applyAnswer(const std::optional<RecordRelay::Updates> &updates, TimePoint requestedAt);

private:
    [[nodiscard]] asio::awaitable<void> read(BackOff &backOff);
    [[nodiscard]] asio::awaitable<bool> list();
    void apply(std::uint64_t offset, std::string record);
    void setNext(std::uint64_t next);
    /// All entries that were written before @p at have been applied.
    void proved(TimePoint at);
    /// Whether a younger list is wanted than the last one.
    [[nodiscard]] bool isWanted() const;
    /// Completes after @p span, or when a younger list is wanted.
    [[nodiscard]] asio::awaitable<void> pause(Duration span);
    void applyUpdates(const RecordRelay::Updates &updates, TimePoint requestedAt);

    FollowContext &m_context;
    const ReadSharing &m_sharing;
    FollowedTopic m_topic;
    TimePoint m_sentAt = TimePoint::min();      ///< of the last call
    TimePoint m_wantedSince = TimePoint::min(); ///< a list is wanted that is read from then on
    asio::steady_timer m_pause;
};

} // namespace vanilladyke
