#pragma once

#include "vanilladyke/node/signed_port.hpp"
#include "vanilladyke/policy/place_book.hpp"
#include "vanilladyke/policy/place_grantors.hpp"
#include "vanilladyke/traffic/traffic_state.hpp"

/// Asks other nodes for places at brittle engines, and grants places to them; see place_book.hpp.
namespace vanilladyke {

namespace wire {
class NodeLoad;
class Places;
class PlaceRequest;
class PlaceGrant;
} // namespace wire

/// @brief The exchange of places of one node. Runs on the traffic thread.
class PlaceSharing
{
public:
    using Udp = SignedPort::Udp;
    /// @brief Sends a message to an endpoint.
    using Send = std::function<void(const wire::Places &, const Udp::endpoint &)>;

    /// Time limit of an answer from a grantor. It answers within milliseconds.
    static constexpr Duration AnswerTimeout = std::chrono::milliseconds(60);
    /// An ask is repeated after this time, as datagrams may be lost.
    static constexpr Duration RepeatAfter = std::chrono::milliseconds(25);
    /// A grantor that did not answer is not asked for so long.
    static constexpr Duration SilentPause = std::chrono::milliseconds(100);
    /// A book without places in use is dropped after this time.
    static constexpr Duration BookLifetime = std::chrono::seconds(60);

    /// @param self address at which other nodes reach this one
    PlaceSharing(TrafficState &state, const Udp::endpoint &self, Send send);

    /// @brief Sets the interval of the nodes' updates.
    void setInterval(Duration interval) { m_grantors.setInterval(interval); }
    /// @brief Applies another node's update. @param node its address
    void nodeTold(const Udp::endpoint &node, const wire::NodeLoad &update, TimePoint now);
    /// @brief Grants what has become free. @param isListening updates of other nodes can be read
    void step(bool isListening, TimePoint now);
    /// @brief Asks the engine's grantor for a place; ends when it answers, or when the patience of
    /// the request is over.
    [[nodiscard]] asio::awaitable<PlaceReply> ask(PlaceQuery query);
    void giveBack(const PlaceTicket &ticket, PlaceEnd end, const std::optional<ReportedLoad> &load);
    void receive(const wire::Places &message, const Udp::endpoint &from);

private:
    /// An ask of this node that has no final answer yet.
    struct Pending
    {
        asio::steady_timer timer;
        std::optional<PlaceVerdict> verdict;
        Duration retryAfter{};

        [[nodiscard]] bool isFinal() const { return verdict && verdict != PlaceVerdict::Queued; }
    };
    /// A place that this node has given back to another one.
    struct Returned
    {
        std::uint64_t engine = 0;
        PlaceReturn place;
    };
    struct Book
    {
        PlaceBook places;
        TimePoint usedAt;
    };

    /// The book of an engine, opened if there is none. @return null if the engine is not known
    [[nodiscard]] Book *bookOf(std::uint64_t engine, double rejections, TimePoint now);
    void sendAsk(const PlaceTicket &ticket, const PlaceQuery &query, Duration patience,
                 TimePoint now);
    void answerAsk(const wire::PlaceRequest &request, const Udp::endpoint &from, TimePoint now);
    /// Sends an answer to its node, or applies it if that is this one.
    void deliver(std::uint64_t engine, const PlaceAnswer &answer);
    void applyAnswer(std::uint64_t id, PlaceVerdict verdict, Duration retryAfter);
    void sendReturns(std::uint64_t grantor, const std::vector<Returned> &returned);
    void applyReturn(std::uint64_t engine, const PlaceReturn &place, TimePoint now);
    /// Sends the last returns once more: a lost one would keep a place taken for a second.
    void repeatReturns();
    void grantQueued(std::uint64_t engine, Book &book, TimePoint now);
    [[nodiscard]] std::uint64_t keyOf(const Udp::endpoint &node);

    TrafficState &m_state;
    Send m_send;
    std::unordered_map<std::uint64_t, Udp::endpoint> m_nodes; ///< by the hash of the address
    std::uint64_t m_self;
    PlaceGrantors m_grantors;
    std::unordered_map<std::uint64_t, std::shared_ptr<Pending>> m_pending;
    std::map<std::uint64_t, std::vector<Returned>> m_repeats; ///< to send once more, by grantor
    std::unordered_map<std::uint64_t, Book> m_books;          ///< by the hash of the engine's id
};

} // namespace vanilladyke
