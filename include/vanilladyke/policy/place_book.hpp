#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

/// Grants the places of one engine to the requests of all nodes.
///
/// Load pattern: an engine falls over if it has to reject more than a few requests in a second, and
/// callers of many nodes ask for more than it can run. Nodes that decide by what they hear of each
/// other send to the same free place in the same moment; the rejections of one such burst are
/// enough, and the load of the engine that fell goes to the next one. One node therefore keeps the
/// book of an engine (see place_grantors.hpp), and a request is sent only with a place from it.
/// Nothing depends on how old the news of a node are: the book counts what it gave and got back.
///
/// The number of places begins at a few and grows with each answer, up to the engine's slots, until
/// the engine rejects a request or lets one wait. Then it falls to what the engine runs, and one
/// place more is tried at a time, less often the more often that failed. Where the engine has free
/// slots and the requests' tokens are known, its memory is learned in the same way instead. Where
/// it rejects a request although it runs no more than it can, it frees places later than its
/// answers arrive; a returned place is then kept for a moment. Requests wait here, the most urgent
/// first, and not at the engine; one that would wait too long is denied at once. Half of the
/// rejections that the engine bears in a second are the limit for the book, so that one that is
/// under way does no harm.
namespace vanilladyke {

/// @brief A node asks for a place for one request.
struct PlaceAsk
{
    std::uint64_t node = 0; ///< hash of the node's address
    std::uint64_t id = 0;   ///< the same when the ask is repeated
    double tokens = 0;      ///< memory that the request takes at the engine; 0: not known
    int urgency = 5;        ///< 0 is the most urgent
    Duration patience{};    ///< for which the request may wait
};

enum class PlaceVerdict {
    Denied,
    Granted,
    Queued, ///< the request waits; another answer follows
};

/// @brief The answer to an ask.
struct PlaceAnswer
{
    std::uint64_t node = 0;
    std::uint64_t id = 0;
    PlaceVerdict verdict = PlaceVerdict::Denied;
    Duration retryAfter{}; ///< denied: predicted time until a place may be free
};

/// @brief How the use of a place ended.
enum class PlaceEnd {
    Unused,   ///< the request was not sent, or does not wait any more
    Served,   ///< the engine answered
    Aborted,  ///< the connection ended before the answer; the engine may notice late
    Rejected, ///< the engine turned the request away for want of room
};

/// @brief A place that a node gives back, with the load that the engine's answer told.
struct PlaceReturn
{
    std::uint64_t node = 0;
    std::uint64_t id = 0;
    PlaceEnd end = PlaceEnd::Unused;
    std::optional<int> running;
    std::optional<int> waiting;
};

/// @brief What is known of the engine.
struct PlaceTerms
{
    int slots = 1;
    double memoryTokens = 0; ///< 0: not known
    double rejections = 0;   ///< in a second, over which the engine falls over
};

/// @brief The places of one engine. Pure: performs no I/O.
class PlaceBook
{
public:
    /// The engine counts its rejections in a second.
    static constexpr Duration CountedFor = std::chrono::seconds(1);
    /// A place whose request was aborted stays taken for so long.
    static constexpr Duration AbortedFor = std::chrono::milliseconds(100);
    /// So long after the opening, requests that nodes sent without a place of this book count.
    static constexpr Duration Transition = std::chrono::seconds(2);
    /// After a rejection the number of places stays for so long, doubled by each further one.
    static constexpr Duration FirstGrowthPause = std::chrono::seconds(2);
    static constexpr Duration MaxGrowthPause = std::chrono::seconds(16);
    /// Places of an engine that has shown nothing yet.
    static constexpr int FirstPlaces = 2;
    /// Factor of the memory that is tried next.
    static constexpr double MemoryGrowth = 1.05;
    /// What a rejection adds to the time for which returned places are kept, and the most.
    static constexpr Duration KeepStep = std::chrono::milliseconds(2);
    static constexpr Duration MaxKept = std::chrono::milliseconds(20);
    /// Between two places more, and between two steps down of that time.
    static constexpr Duration GrowthInterval = std::chrono::seconds(1);
    /// A grant that its node does not report as a request in flight after this time was lost.
    static constexpr Duration SettledAfter = std::chrono::milliseconds(500);
    static constexpr std::size_t MaxQueued = 256;

    /// @param openFrom nothing is granted before
    PlaceBook(const PlaceTerms &terms, TimePoint openFrom, TimePoint now);

    /// @brief Replaces the terms. @param share of the slots that this book may use, up to 1
    void setTerms(const PlaceTerms &terms, double share);
    /// @param told requests in flight at the engine, as this node heard from all nodes
    [[nodiscard]] PlaceAnswer ask(const PlaceAsk &ask, int told, TimePoint now);
    void giveBack(const PlaceReturn &place, TimePoint now);
    /// @brief Grants what is free to the requests that wait.
    [[nodiscard]] std::vector<PlaceAnswer> grantQueued(int told, TimePoint now);
    /// @brief Applies a node's own count of its requests in flight at the engine.
    void nodeTold(std::uint64_t node, int inFlight, TimePoint now);
    /// @brief The node has ended, and its requests with it.
    void nodeGone(std::uint64_t node);

    [[nodiscard]] bool isIdle() const { return m_held.empty() && m_queue.empty(); }
    /// @brief Requests that may run at once.
    [[nodiscard]] int places() const;
    [[nodiscard]] std::size_t held() const { return m_held.size(); }
    [[nodiscard]] std::size_t queued() const { return m_queue.size(); }

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>; ///< node and ask
    struct Held
    {
        TimePoint since;
        double tokens = 0;
        std::optional<TimePoint> until; ///< set if it was given back: when it is free
    };
    struct Waiting
    {
        PlaceAsk ask;
        TimePoint until;
    };

    void expire(TimePoint now);
    [[nodiscard]] bool hasRoom(double tokens, int told, TimePoint now);
    void grant(const PlaceAsk &ask, TimePoint now);
    void rejected(const PlaceReturn &place, double tokens, TimePoint now);
    void waited(const PlaceReturn &place, double tokens, TimePoint now);
    /// The engine runs so many requests and no more.
    void learn(int running);
    /// Whether the engine's memory is full, not its slots.
    [[nodiscard]] bool isShortOfMemory(int running, double tokens) const;
    [[nodiscard]] double memoryHeld() const;
    /// Whether one step more may be tried now.
    [[nodiscard]] bool mayGrow(TimePoint now);
    [[nodiscard]] Duration predictedWait(std::size_t ahead, TimePoint now) const;
    [[nodiscard]] bool isHeldBack(TimePoint now) const;
    [[nodiscard]] std::deque<Waiting>::iterator queued(const Key &key);

    PlaceTerms m_terms;
    TimePoint m_openFrom;
    int m_most;                     ///< places of this book's share
    int m_learned;                  ///< places that the engine is known to have
    std::optional<double> m_memory; ///< tokens that fit, as the engine's answers showed
    bool m_isStarting = true;       ///< nothing was rejected or had to wait yet
    std::map<Key, Held> m_held;
    std::deque<Waiting> m_queue; ///< the most urgent first
    std::deque<TimePoint> m_rejections;
    TimePoint m_growAt;
    TimePoint m_rejectedAt;
    Duration m_growthPause = FirstGrowthPause;
    Duration m_keptFor{};                                ///< after a return
    Duration m_meanHold = std::chrono::milliseconds(50); ///< from grant to return
};

} // namespace vanilladyke
