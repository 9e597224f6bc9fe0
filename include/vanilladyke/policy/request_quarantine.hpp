#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/work_digest.hpp"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Which requests are sent to no engine any more, since engines end when they run them.
///
/// Load pattern: a request ends every engine that begins to run it, and its caller sends it again,
/// to any node. Each copy takes an engine, or two where it is sent again, with all that runs there;
/// within a second a small fleet is gone, and again as soon as its engines are back. Nodes
/// therefore tell each other under which requests an engine ended, and add up what they hear.
///
/// Innocent requests end with the engine that they shared with such a one. What tells them apart:
/// - Two engines must have ended under a request that they had just begun or not begun yet; among
///   longer runs three must have. One crash, one rack or one spot notice is one end for a request.
/// - A whole answer to the same work takes back all that was held against it before.
/// - An engine that answers anything later had not ended.
///
/// After HoldTime a request is let through again, at one node first: nodes wait for a part of
/// ReleaseSpread that differs between them. If it ends an engine again, the others hear of it
/// before they let it through.
///
/// What is known spreads without anybody in charge: an end is told Repeats times by the node that
/// saw it, and from then on all nodes together repeat RefreshPerSecond requests a second, drawn at
/// random, so that a node that was cut off or has just started knows them soon. Bounded: a customer
/// who sends ever new ones pushes out only its own.
namespace vanilladyke {

/// @brief An engine that ended under a request.
struct EngineEnd
{
    std::uint64_t engine = 0; ///< hash of its id; a restart has another id
    TimePoint at;
    bool hadJustBegun = false; ///< the request waited there or had begun within JustBegun
};

/// @brief What nodes tell each other of one request.
struct QuarantineNews
{
    struct End
    {
        std::uint64_t engine = 0;
        Duration age{};
        bool hadJustBegun = false;
    };

    WorkDigest digest;
    std::uint64_t customer = 0;          ///< hash of its id
    std::optional<Duration> answeredAge; ///< since the last whole answer
    std::vector<End> ends;
};

/// @brief What one node knows. Pure.
class RequestQuarantine
{
public:
    static constexpr Duration JustBegun = std::chrono::milliseconds(500);
    static constexpr int EndsJustBegun = 2;
    static constexpr int EndsInAll = 3;
    static constexpr Duration HoldTime = std::chrono::minutes(10);
    static constexpr Duration ReleaseSpread = std::chrono::minutes(2);
    /// Without anything new a request is forgotten.
    static constexpr Duration Memory = std::chrono::hours(1);
    static constexpr std::size_t MostRequests = 4096;
    static constexpr std::size_t MostOfCustomer = 256;
    static constexpr int Repeats = 3;
    static constexpr double RefreshPerSecond = 10; ///< of all nodes together
    /// Ends under requests that are not held matter to others for as long as copies may follow
    /// soon.
    static constexpr Duration RefreshFor = std::chrono::seconds(20);

    /// What an engine answered before it ended is read a little later at a slow node.
    static constexpr Duration LateAnswers = std::chrono::seconds(1);

    /// @param self hash of the node's name: differs between nodes
    explicit RequestQuarantine(std::uint64_t self = 0)
        : m_self(self)
    {}

    /// @brief Whether anything is held against requests of the customer: without, no digest is
    /// needed.
    [[nodiscard]] bool concerns(std::uint64_t customer) const
    {
        return m_byCustomer.contains(customer);
    }
    /// @brief Until when the request is sent to no engine; none if it may be sent.
    [[nodiscard]] std::optional<TimePoint> heldUntil(const WorkDigest &digest, TimePoint now) const;

    /// @brief This node saw an engine end under the request.
    /// @return whether the request is held from now on, and was not before
    bool ended(const WorkDigest &digest, std::uint64_t customer, const EngineEnd &end);
    /// @brief An engine answered the request whole. @return whether anything was held against it
    bool answered(const WorkDigest &digest, TimePoint now);
    /// @brief The engine answered. If it was believed to have ended before LateAnswers, it had not.
    void engineLives(std::uint64_t engine, TimePoint now);
    /// @brief Requests that an operator let go; nothing is held against them from now on.
    void setFreed(std::vector<WorkDigest> freed);

    /// @brief What another node told. @return requests that are held from now on
    std::vector<WorkDigest> heard(const std::vector<QuarantineNews> &news, TimePoint now);
    /// @brief Whether there are ends that were not told yet.
    [[nodiscard]] bool hasNews() const { return m_hasNews; }
    /// @param nodes all that tell, with this one
    /// @param most requests in one telling
    [[nodiscard]] std::vector<QuarantineNews> toTell(std::size_t nodes, std::size_t most,
                                                     TimePoint now, Random &random);

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }
    [[nodiscard]] std::size_t held(TimePoint now) const;
    /// @brief Engines that are known to have ended under the request.
    [[nodiscard]] std::size_t endsUnder(const WorkDigest &digest) const;

private:
    /// Older ends decide nothing more.
    static constexpr std::size_t MostEnds = 4;

    struct Request
    {
        std::uint64_t customer = 0;
        std::vector<EngineEnd> ends;
        std::optional<TimePoint> answeredAt;
        TimePoint changedAt;
        int tellsLeft = 0;
    };
    using Requests = std::unordered_map<WorkDigest, Request>;

    [[nodiscard]] static bool isBeyondChance(const Request &request);
    [[nodiscard]] std::optional<TimePoint> heldUntil(const WorkDigest &digest,
                                                     const Request &request, TimePoint now) const;
    [[nodiscard]] bool isFreed(const WorkDigest &digest) const;
    /// @return whether the end is news
    bool add(Request &request, const EngineEnd &end);
    static void takeBack(Request &request, TimePoint answeredAt);
    Request &requestFor(const WorkDigest &digest, std::uint64_t customer, TimePoint now);
    /// Makes room for a request of the customer.
    void makeRoom(std::uint64_t customer, TimePoint now);
    void erase(Requests::iterator request);
    void forgetOld(TimePoint now);
    [[nodiscard]] static QuarantineNews newsOf(const WorkDigest &digest, const Request &request,
                                               TimePoint now);

    std::uint64_t m_self;
    Requests m_requests;
    std::unordered_map<std::uint64_t, std::size_t> m_byCustomer;
    std::unordered_set<std::uint64_t> m_endedEngines; ///< that requests may name
    std::vector<WorkDigest> m_freed;
    std::optional<TimePoint> m_toldAt;
    TimePoint m_forgottenAt;
    bool m_hasNews = false;
};

} // namespace vanilladyke
