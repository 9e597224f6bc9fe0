#pragma once

#include "vanilladyke/policy/buffer_budget.hpp"
#include "vanilladyke/traffic/asio.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

/// Makes sessions wait for the memory that the bodies of their requests need.
namespace vanilladyke {

class BufferGate;

/// @brief The share of one body; given back with the last copy of the pointer to it.
class BodyShare
{
public:
    BodyShare(std::shared_ptr<BufferGate> gate, std::size_t bytes);
    ~BodyShare();
    BodyShare(const BodyShare &) = delete;
    BodyShare &operator=(const BodyShare &) = delete;

    /// @brief Gives back what the body turned out not to need.
    void shrinkTo(std::size_t bytes);
    [[nodiscard]] bool hasWaited() const { return m_hasWaited; }

private:
    friend class BufferGate;

    std::shared_ptr<BufferGate> m_gate;
    BodyKind m_kind;
    std::size_t m_bytes;
    bool m_hasWaited = false;
    std::optional<TimePoint> m_grantedAt;
    std::optional<BufferBudget::Ticket> m_ticket; ///< while it waits
    asio::steady_timer m_wait;
};

using BodySharePtr = std::shared_ptr<BodyShare>;

/// @brief The bytes of one answer that are kept; counted until the end of the object.
class AnswerShare
{
public:
    explicit AnswerShare(std::shared_ptr<BufferGate> gate)
        : m_gate(std::move(gate))
    {}
    ~AnswerShare() { resize(0); }
    AnswerShare(AnswerShare &&other) noexcept
        : m_gate(std::move(other.m_gate))
        , m_bytes(std::exchange(other.m_bytes, 0))
    {}
    AnswerShare &operator=(AnswerShare &&other) noexcept
    {
        std::swap(m_gate, other.m_gate);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }

    /// @param bytes of memory, which may exceed the length of the answer
    void resize(std::size_t bytes);
    [[nodiscard]] std::size_t bytes() const { return m_bytes; }
    /// @brief Whether an answer of this length may be kept further.
    [[nodiscard]] bool fits(std::size_t length) const;

private:
    std::shared_ptr<BufferGate> m_gate;
    std::size_t m_bytes = 0;
};

/// @brief The account of a traffic thread. For use on that thread only. Shares keep it alive.
class BufferGate : public std::enable_shared_from_this<BufferGate>
{
public:
    /// Of a process whose memory is not known, in bytes.
    static constexpr std::size_t DefaultBytes = 48U << 20U;

    BufferGate(asio::io_context &context, std::size_t total)
        : m_context(context)
        , m_budget(total)
    {}

    /// @brief Waits for the share of a body. @return null if there is none until then
    [[nodiscard]] asio::awaitable<BodySharePtr> enter(std::size_t bytes, TimePoint until);
    [[nodiscard]] const BufferBudget &budget() const { return m_budget; }
    [[nodiscard]] std::uint64_t waited() const { return m_waited; } ///< bodies so far

    void keepAnswer(std::size_t bytes) { m_budget.keepAnswer(bytes); }
    void dropAnswer(std::size_t bytes);

private:
    friend class BodyShare;

    void wake(const std::vector<BufferBudget::Ticket> &granted);
    void leave(BodyShare &share);

    asio::io_context &m_context;
    BufferBudget m_budget;
    std::unordered_map<BufferBudget::Ticket, BodyShare *> m_waiters;
    std::uint64_t m_waited = 0;
};

} // namespace vanilladyke
