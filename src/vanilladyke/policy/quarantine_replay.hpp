#pragma once

#include "vanilladyke/policy/request_quarantine.hpp"

#include <algorithm>
#include <array>

/// A small fleet in which engines end, for the tests of the quarantine.
namespace vanilladyke {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1000)};

/// @brief What ends engines, beside crashes by chance.
enum class ReplayFault {
    None,
    Request, ///< one request that is sent again and again
    Part,    ///< one part of prompts that all differ in all else
};

/// Simulates a small fleet: requests run on randomly drawn engines, engines terminate, nodes
/// exchange updates every 80 ms with occasional datagram loss. Callers retry once.
class Replay
{
public:
    struct Result
    {
        int asked = 0;
        int refused = 0;      ///< attempts of harmless requests refused by the quarantine
        int ended = 0;        ///< engines that the poison request terminated
        int late = 0;         ///< sends of the poison 3 s or more after the termination that counts
        int askedLater = 0;   ///< first attempts 6 s or more after it
        int refusedLater = 0; ///< of them
    };

    Replay(std::uint64_t seed, ReplayFault fault, int crashes)
        : m_random(seed)
        , m_fault(fault)
        , m_crashes(crashes)
    {
        for (std::uint64_t i = 0; i < Nodes; ++i) {
            m_nodes.emplace_back(i);
        }
        m_backAt.fill(Start);
    }

    Result run()
    {
        for (TimePoint now = Start; now < Start + seconds(30); now += Step) {
            step(now);
        }
        return m_result;
    }

private:
    static constexpr std::size_t Nodes = 9;
    static constexpr std::size_t Engines = 9;
    static constexpr Duration Step = milliseconds(10);
    static constexpr WorkDigest PoisonRequest{1, 1};

    static constexpr WorkDigest PoisonPart{9, 9};
    /// Parts that all requests of a third of the callers share, and parts of one session each.
    static constexpr std::uint64_t CommonParts = 3;
    static constexpr std::uint64_t Sessions = 60;

    /// A request: the digest of the whole, and those of its shared parts.
    struct Work
    {
        WorkDigest digest;
        std::vector<WorkDigest> parts;
        bool isPoison = false;
    };
    struct Running
    {
        Work work;
        std::size_t node = 0;
        std::size_t engine = 0;
        TimePoint sentAt;
        TimePoint begins;
        TimePoint endsAt;
        int sends = 1;
        int attempt = 1;
    };

    bool chance(double part) { return uniform(m_random) < part; }
    std::uint64_t idOf(std::size_t engine) const { return 100 * m_lives[engine] + engine; }

    void send(const Work &work, std::size_t node, int sends, int attempt, TimePoint now)
    {
        std::vector<std::size_t> live;
        for (std::size_t i = 0; i < Engines; ++i) {
            if (m_backAt[i] <= now) {
                live.push_back(i);
            }
        }
        if (live.empty()) {
            return;
        }
        const TimePoint begins = now + milliseconds(20 + uniformBelow(m_random, 200));
        const Duration lasts = work.isPoison
                                       ? Duration(milliseconds(50))
                                       : Duration(milliseconds(100 + uniformBelow(m_random, 900)));
        m_running.push_back({work, node, live[uniformBelow(m_random, live.size())], now, begins,
                             begins + lasts, sends, attempt});
        const bool isLate = m_countedEnd && now > *m_countedEnd + seconds(3);
        m_result.late += work.isPoison && isLate ? 1 : 0;
    }

    bool isHeld(std::size_t node, const Work &work, TimePoint now) const
    {
        const RequestQuarantine &at = m_nodes[node];
        return at.heldUntil(work.digest, now)
               || std::any_of(work.parts.begin(), work.parts.end(),
                              [&](const WorkDigest &part) { return at.heldUntil(part, now); });
    }

    void arrive(const Work &work, int attempt, TimePoint now)
    {
        const std::size_t node = uniformBelow(m_random, Nodes);
        const bool held = isHeld(node, work, now);
        if (!work.isPoison) {
            const bool isLater = m_countedEnd && now > *m_countedEnd + seconds(6) && attempt == 1;
            m_result.asked += attempt == 1 ? 1 : 0;
            m_result.refused += held ? 1 : 0;
            m_result.askedLater += isLater ? 1 : 0;
            m_result.refusedLater += isLater && held ? 1 : 0;
        }
        if (!held) {
            send(work, node, 1, attempt, now);
        }
    }

    void end(std::size_t engine, TimePoint now)
    {
        const std::uint64_t id = idOf(engine);
        ++m_lives[engine];
        m_backAt[engine] = now + seconds(3);
        std::vector<Running> lost;
        std::erase_if(m_running, [&](const Running &each) {
            const bool isThere = each.engine == engine;
            if (isThere) {
                lost.push_back(each);
            }
            return isThere;
        });
        for (const Running &each : lost) {
            const bool hadJustBegun = now - each.begins < RequestQuarantine::JustBegun;
            const EngineTermination seen{id, now, hadJustBegun, each.work.digest.low, each.sentAt};
            for (const WorkDigest &part : each.work.parts) {
                static_cast<void>(m_nodes[each.node].recordPartTermination(part, 5, seen));
            }
            static_cast<void>(m_nodes[each.node].recordTermination(each.work.digest, 5, seen));
            if (each.sends < 2 && !isHeld(each.node, each.work, now)) {
                send(each.work, each.node, each.sends + 1, each.attempt, now);
            } else if (each.attempt < 2 && !each.work.isPoison) {
                arrive(each.work, each.attempt + 1, now);
            }
        }
    }

    Work nextWork(bool isPoison)
    {
        if (m_fault != ReplayFault::Part) {
            return {isPoison ? PoisonRequest : WorkDigest{2, ++m_number}, {}, isPoison};
        }
        const WorkDigest common{3, uniformBelow(m_random, CommonParts)};
        const WorkDigest session{4, uniformBelow(m_random, Sessions)};
        return {{2, ++m_number}, {common, isPoison ? PoisonPart : session}, isPoison};
    }

    void step(TimePoint now)
    {
        const double perStep = secondsOf(Step);
        while (chance(0.6)) { // 150 a second
            arrive(nextWork(false), 1, now);
        }
        if (m_fault != ReplayFault::None && chance(8 * perStep)) {
            arrive(nextWork(true), 1, now);
        }
        for (int i = 0; i < m_crashes; ++i) {
            if (chance(perStep / 3)) {
                end(uniformBelow(m_random, Engines), now);
            }
        }
        std::optional<std::size_t> ending;
        std::erase_if(m_running, [&](const Running &each) {
            const bool isOver = each.endsAt <= now;
            if (isOver && !each.work.isPoison) {
                static_cast<void>(m_nodes[each.node].recordAnswer(each.work.digest, now));
                for (const WorkDigest &part : each.work.parts) {
                    static_cast<void>(m_nodes[each.node].recordPartAnswer(part, now));
                }
            }
            if (isOver && each.work.isPoison) {
                ending = each.engine;
            }
            return isOver && !each.work.isPoison;
        });
        if (ending) {
            end(*ending, now);
            if (++m_result.ended == (m_fault == ReplayFault::Part ? 5 : 3)) {
                m_countedEnd = now;
            }
        }
        if ((now - Start) % milliseconds(80) == Duration::zero()) {
            exchangeUpdates(now);
        }
    }

    void exchangeUpdates(TimePoint now)
    {
        for (std::size_t from = 0; from < Nodes; ++from) {
            const auto updates = m_nodes[from].collectUpdates(Nodes, 40, now, m_random);
            for (std::size_t to = 0; to < Nodes; ++to) {
                if (to != from && !chance(0.03)) {
                    static_cast<void>(m_nodes[to].applyUpdates(updates, now));
                }
            }
        }
    }

    Random m_random;
    ReplayFault m_fault;
    int m_crashes;
    std::vector<RequestQuarantine> m_nodes;
    std::array<TimePoint, Engines> m_backAt{};
    std::array<std::uint64_t, Engines> m_lives{};
    std::vector<Running> m_running;
    std::uint64_t m_number = 0;
    std::optional<TimePoint> m_countedEnd;
    Result m_result;
};

} // namespace vanilladyke
