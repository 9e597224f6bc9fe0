#pragma once

#include "vanilladyke/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

/// Shares the memory for buffers of one process among the bodies of requests and the answers that
/// are kept until they are whole.
///
/// Load pattern: many callers send bodies of the largest permitted size at the same time. Each is
/// within its limit, and together they exceed the memory of the process, which is ended, so that
/// all its requests are lost. A body therefore gets its share before it is read, or waits for it in
/// the order of arrival; its bytes stay with its sender meanwhile. One that would not get its share
/// in time is refused.
///
/// Load pattern: faulty servers send answers that don't end, on many connections at once. Each may
/// have what is left of the answers' part, so that the more there are, the sooner they are given
/// up, and ordinary answers still fit.
///
/// Large and small bodies wait apart. Small ones may use what is free while no large one waits, so
/// that neither kind waits for a queue of the other.
namespace vanilladyke {

/// @brief Bodies that wait in one queue.
enum class BodyKind { Small, Large };

/// @brief What a body may do.
enum class BodyEntry {
    Granted, ///< be read
    Waits,
    Refused, ///< it would not get its share in time
};

/// @brief The account of a process. Pure. All sizes are in bytes.
class BufferBudget
{
public:
    using Ticket = std::uint64_t; ///< names a body that waits

    /// Up to this size a body is a small one.
    static constexpr std::size_t SmallBody = 128U << 10U;
    /// What a connection may hold while its body waits: the receive buffer of its socket, and what
    /// came with the head.
    static constexpr std::size_t WaitingBody = 256U << 10U;
    /// Parts of the budget; what is held of all kinds together stays within it as well.
    static constexpr double LargePart = 0.5;
    static constexpr double AnswersPart = 0.5;
    static constexpr double SmallPart = 0.25;   ///< that large bodies and answers don't take away
    static constexpr double WaitingPart = 0.25; ///< for the bodies that wait

    /// What any answer may have, however much is kept.
    static constexpr std::size_t SmallAnswer = 16U << 10U;
    /// What an answer may have at most while bodies and answers exceed the budget.
    static constexpr std::size_t OrdinaryAnswer = 256U << 10U;

    struct Admission
    {
        BodyEntry entry = BodyEntry::Refused;
        Ticket ticket = 0; ///< of one that waits
    };

    explicit BufferBudget(std::size_t total);

    [[nodiscard]] static BodyKind kindOf(std::size_t bytes)
    {
        return bytes <= SmallBody ? BodyKind::Small : BodyKind::Large;
    }
    /// @brief Asks for the share of a body.
    /// @param until when it gives up waiting
    [[nodiscard]] Admission enter(std::size_t bytes, TimePoint until, TimePoint now);
    /// @brief Gives back a part of a share, or a whole one. @return who got a share by that
    [[nodiscard]] std::vector<Ticket> release(BodyKind kind, std::size_t bytes);
    /// @brief Notes for how long a share was held, to predict how long others wait.
    void recordHold(BodyKind kind, Duration held);
    /// @brief A body waits no longer. @return who got a share by that
    [[nodiscard]] std::vector<Ticket> withdraw(Ticket ticket);

    /// @brief Counts bytes of answers that are kept.
    void keepAnswer(std::size_t bytes) { m_answers += bytes; }
    /// @brief Bytes of answers are kept no longer. @return the bodies that got a share by that
    [[nodiscard]] std::vector<Ticket> dropAnswer(std::size_t bytes);
    /// @brief Most bytes that one answer may have, given what is kept.
    [[nodiscard]] std::size_t largestAnswer() const;
    /// @brief Whether the answers that are kept fit into the budget.
    [[nodiscard]] bool hasRoomForAnswers() const;

    /// @brief Bytes of bodies that have their share, and of answers.
    [[nodiscard]] std::size_t held() const;
    [[nodiscard]] std::size_t waiting() const; ///< number of bodies

private:
    struct Waiter
    {
        Ticket ticket = 0;
        std::size_t bytes = 0;
    };
    struct Queue
    {
        std::size_t limit = 0;
        std::size_t held = 0;
        std::size_t waitingBytes = 0;
        std::deque<Waiter> waiters;
        double meanHoldSeconds = 0; ///< recent; 0: not known
    };

    [[nodiscard]] Queue &queue(BodyKind kind)
    {
        return m_queues.at(static_cast<std::size_t>(kind));
    }
    [[nodiscard]] bool hasRoom(BodyKind kind, std::size_t bytes) const;
    [[nodiscard]] Duration expectedWait(const Queue &queue, std::size_t bytes) const;
    /// Grants shares in the order of arrival, as far as there is room.
    [[nodiscard]] std::vector<Ticket> grant();

    std::size_t m_total;
    std::size_t m_answers = 0;
    std::array<Queue, 2> m_queues; ///< by BodyKind
    Ticket m_lastTicket = 0;
};

} // namespace vanilladyke
