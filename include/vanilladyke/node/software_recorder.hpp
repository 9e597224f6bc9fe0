#pragma once

#include "vanilladyke/node/follow_context.hpp"
#include "vanilladyke/node/read_sharing.hpp"
#include "vanilladyke/policy/software_history.hpp"

/// Keeps in the platform's store which software versions of each service may have begun streams.
///
/// Load pattern: all nodes are killed at once, and callers take their streams up at processes that
/// have just started; see software_history.hpp. The records change when a rollout begins and after
/// it has ended. They cost a listing for each start, and for each change an append and some
/// listings, however many nodes there are.
namespace vanilladyke {

/// @brief Reads the records once at start. A few nodes write what is due: the first in the order of
/// nodes at once, the next ones if it has not done so when their turn comes. Runs on the control
/// thread.
class SoftwareRecorder
{
public:
    /// @param context, sharing, backends must outlive the recorder
    SoftwareRecorder(FollowContext &context, const ReadSharing &sharing,
                     const FollowedTopic &backends)
        : m_context(context)
        , m_sharing(sharing)
        , m_backends(backends)
    {}

    /// @brief Reads and writes the records until the followers are stopped.
    [[nodiscard]] asio::awaitable<void> follow();
    /// @brief Sets what has to be written.
    void setDue(SoftwareRecords due);

private:
    [[nodiscard]] asio::awaitable<bool> list(CallCause cause);
    [[nodiscard]] asio::awaitable<void> write();
    /// Whether this node's turn to write has come.
    [[nodiscard]] bool isTurn(TimePoint now) const;

    FollowContext &m_context;
    const ReadSharing &m_sharing;
    const FollowedTopic &m_backends;
    bool m_isListed = false;
    std::uint64_t m_era = 0;      ///< of the store, in which the records were listed
    std::uint64_t m_listings = 0; ///< of the servers, before the records were listed
    std::uint64_t m_end = 0;      ///< offset behind the listed records
    std::uint64_t m_reading = 0;  ///< number of the last listing
    SoftwareRecords m_due;
    std::optional<TimePoint> m_dueSince; ///< none: nothing is due
    std::optional<TimePoint> m_lookedAt; ///< when the records were read again for the change
};

} // namespace vanilladyke
