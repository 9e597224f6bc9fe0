#pragma once

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/base/time.hpp"
#include "vanilladyke/policy/part_evidence.hpp"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// Quarantine of requests that repeatedly coincide with engine termination. A quarantined request
/// is not sent to any engine.
///
/// Load pattern: a request terminates every engine that starts to run it, and its caller retries at
/// any node. Each copy takes down an engine (two if the node retries it) together with everything
/// that runs there, so a small fleet is lost within a second and again as soon as its engines are
/// back. Nodes therefore exchange the engine terminations that they have seen under each request
/// and combine them.
///
/// Requests that merely shared the engine are affected by the termination too. They are told apart
/// by these rules:
/// - Two engines must have terminated under a request that had just started or had not started yet;
///   three if the runs were longer. One crash, one rack failure or one spot termination notice
///   counts once for a request.
/// - A complete answer to the same work discards all earlier evidence against it.
/// - An engine that answers anything later had not terminated.
///
/// After HoldTime a request is admitted again, by one node first: each node waits for a different
/// part of ReleaseSpread. If the request terminates an engine again, the other nodes receive the
/// update before they admit it.
///
/// Requests that share a part of their prompts, no two alike, are caught by that part: the same
/// ledger keeps the ends of engines under each shared part, and part_evidence.hpp attributes them.
/// What is attributed to a part no longer counts against the requests that were there.
///
/// Updates spread without a coordinator. The node that saw a termination sends it Repeats times;
/// afterwards all nodes together resend RefreshPerSecond randomly drawn requests per second, so
/// that a node that was partitioned or has just started catches up soon. Memory is bounded: a
/// customer that keeps sending new requests evicts only its own.
namespace vanilladyke {

/// @brief State of one request, or of one part of prompts, as exchanged between nodes.
struct QuarantineUpdate
{
    struct End
    {
        std::uint64_t engine = 0;
        Duration age{};
        bool hadJustBegun = false;
        std::uint64_t request = 0;
        std::optional<Duration> sentAge;
    };

    WorkDigest digest;
    std::uint64_t customer = 0;          ///< hash of its id
    std::optional<Duration> answeredAge; ///< time since the last complete answer
    std::vector<End> ends;
    bool isPart = false;
};

/// @brief The quarantine state of one node. Pure: no I/O, no clock.
class RequestQuarantine
{
public:
    static constexpr Duration JustBegun = std::chrono::milliseconds(500);
    static constexpr int EarlyTerminationsToHold = 2;
    static constexpr int TerminationsToHold = 3;
    static constexpr Duration HoldTime = std::chrono::minutes(10);
    static constexpr Duration ReleaseSpread = std::chrono::minutes(2);
    /// A request without updates for this long is dropped.
    static constexpr Duration RetentionTime = std::chrono::hours(1);
    static constexpr std::size_t MaxRequests = 4096;
    static constexpr std::size_t MaxRequestsPerCustomer = 256;
    static constexpr int Repeats = 3;
    static constexpr double RefreshPerSecond = 10; ///< requests, summed over all nodes
    /// Terminations under a request that is not quarantined are resent for this long: while further
    /// copies are likely to follow.
    static constexpr Duration RefreshTime = std::chrono::seconds(20);

    /// Ends in sequence, or engines that ended in all, after which a part is withheld for HoldTime;
    /// with fewer of both for SuspicionTime.
    static constexpr int EndsToHoldPart = 3;
    static constexpr int EnginesToHoldPart = 4;
    /// Time for which a part is withheld on little evidence. An engine that has ended is back after
    /// some seconds.
    static constexpr Duration SuspicionTime = std::chrono::seconds(10);
    /// A part that was answered within this time before an end is most likely sound.
    static constexpr Duration AnswerMemory = std::chrono::minutes(1);
    static constexpr std::size_t MaxAnsweredParts = 16'384;

    /// A slow node may read an answer this long after the engine that wrote it has terminated.
    static constexpr Duration LateAnswerTime = std::chrono::seconds(1);

    /// @param self hash of the node's name; makes release times differ between nodes
    explicit RequestQuarantine(std::uint64_t self = 0)
        : m_self(self)
    {}

    /// @brief Whether there is evidence against any request of the customer. If not, no digest
    /// needs to be computed.
    [[nodiscard]] bool hasEvidence(std::uint64_t customer) const
    {
        return m_byCustomer.contains(customer);
    }
    /// @brief When the quarantine of the request ends; none if the request may be sent.
    [[nodiscard]] std::optional<TimePoint> heldUntil(const WorkDigest &digest, TimePoint now) const;

    /// @brief Records that this node saw an engine terminate under the request.
    /// @return whether this put the request into quarantine
    bool recordTermination(const WorkDigest &digest, std::uint64_t customer,
                           const EngineTermination &end);
    /// @brief The same for a part of the request's prompt that other requests may share.
    bool recordPartTermination(const WorkDigest &part, std::uint64_t customer,
                               const EngineTermination &end);
    /// @brief Whether there is evidence against any part. If not, no digest of a part is needed.
    [[nodiscard]] bool hasPartEvidence() const { return m_parts > 0; }
    /// @brief Records a complete answer to a request with this part.
    /// @return whether there was evidence against the part
    bool recordPartAnswer(const WorkDigest &part, TimePoint now);
    /// @brief Whether there is enough evidence against the part to withdraw requests that wait.
    [[nodiscard]] bool isCulprit(const WorkDigest &part) const;
    /// @brief Records a complete answer to the request. @return whether there was evidence against
    /// it
    bool recordAnswer(const WorkDigest &digest, TimePoint now);
    /// @brief Records an answer of the engine. Drops terminations recorded for it more than
    /// LateAnswerTime ago.
    void recordEngineAnswer(std::uint64_t engine, TimePoint now);
    /// @brief Sets the requests that an operator exempted; they are not quarantined from now on.
    void setExempted(std::vector<WorkDigest> exempted);

    /// @brief Applies another node's updates. @return requests that this put into quarantine
    std::vector<WorkDigest> applyUpdates(const std::vector<QuarantineUpdate> &news, TimePoint now);
    /// @brief Whether there are updates that were not sent yet.
    [[nodiscard]] bool hasUpdates() const { return m_hasUpdates; }
    /// @brief Collects the updates for the next message to the other nodes.
    /// @param nodes nodes that send updates, this one included
    /// @param most maximum number of requests in one message
    [[nodiscard]] std::vector<QuarantineUpdate> collectUpdates(std::size_t nodes, std::size_t most,
                                                               TimePoint now, Random &random);

    [[nodiscard]] std::size_t size() const { return m_requests.size(); }
    [[nodiscard]] std::size_t held(TimePoint now) const;
    /// @brief Number of engines recorded as terminated under the request.
    [[nodiscard]] std::size_t terminationsUnder(const WorkDigest &digest) const;

private:
    /// Older terminations do not affect the decision.
    static constexpr std::size_t MaxTerminations = 4;
    static constexpr std::size_t MaxPartTerminations = 8;

    struct Request
    {
        std::uint64_t customer = 0;
        std::vector<EngineTermination> ends;
        std::optional<TimePoint> answeredAt;
        TimePoint changedAt;
        int sendsLeft = 0;
        bool isPart = false;
    };
    using Requests = std::unordered_map<WorkDigest, Request>;

    [[nodiscard]] bool hasEnoughEvidence(const WorkDigest &digest, const Request &request) const;
    bool record(const WorkDigest &digest, std::uint64_t customer, const EngineTermination &end,
                bool isPart);
    void apply(const QuarantineUpdate &update, TimePoint now);
    /// Attributes the ends of engines anew.
    void attributeEnds();
    void rememberAnswer(const WorkDigest &part, TimePoint now);
    [[nodiscard]] std::optional<TimePoint> heldUntil(const WorkDigest &digest,
                                                     const Request &request, TimePoint now) const;
    [[nodiscard]] bool isExempted(const WorkDigest &digest) const;
    /// @return whether the termination was not recorded before
    bool add(Request &request, const EngineTermination &end);
    static void discardEvidence(Request &request, TimePoint answeredAt);
    Request &requestFor(const WorkDigest &digest, std::uint64_t customer, bool isPart,
                        TimePoint now);
    /// Evicts a request if there is no room for another one of the customer.
    void evictIfFull(std::uint64_t customer, TimePoint now);
    void erase(Requests::iterator request);
    void pruneExpired(TimePoint now);
    [[nodiscard]] static QuarantineUpdate updateOf(const WorkDigest &digest, const Request &request,
                                                   TimePoint now);

    std::uint64_t m_self;
    Requests m_requests;
    std::unordered_map<std::uint64_t, std::size_t> m_byCustomer;
    std::unordered_set<std::uint64_t> m_terminatedEngines; ///< named by recorded ends
    std::vector<WorkDigest> m_exempted;
    std::size_t m_parts = 0; ///< of the entries
    std::unordered_map<WorkDigest, CulpritPart> m_culprits;
    std::unordered_set<std::uint64_t> m_attributed; ///< engines whose end is a part's
    std::unordered_map<WorkDigest, TimePoint> m_answeredParts;
    TimePoint m_forgotAt; ///< when old answers of parts were last forgotten
    std::optional<TimePoint> m_sentAt;
    TimePoint m_prunedAt;
    bool m_hasUpdates = false;
};

} // namespace vanilladyke
