#pragma once

#include "vanilladyke/traffic/exchange_fixture.hpp"

/// Fixture of the tests that hold a server's answer back and force the order of events around it.
namespace vanilladyke {

/// Tests that force the order of events around an answer that a server is about to give. The first
/// server is asked first. "Leaves" below means that the node closes its connection to a server.
class HeldAnswerTest : public ExchangeTest
{
protected:
    /// Latest time at which a held answer is released, if the node does not leave the first server.
    static constexpr Duration LatestRelease = milliseconds(1000);
    /// Timeout of routes whose requests have to be answered, on a busy machine, too.
    static constexpr Duration Ample = std::chrono::seconds(30);

    [[nodiscard]] bool hasLeftFirst() const
    {
        return !m_backends.empty() && !m_backends[0]->received.empty()
               && m_state.pool.openConnections(EngineId("e1")) == 0;
    }

    /// Holds from now on until the node has left the server, and at most for @p latest.
    std::function<bool()> leavesOr(int server, Duration latest = LatestRelease)
    {
        const TimePoint until = MonotonicClock::now() + latest;
        const EngineId id("e" + std::to_string(server));
        return [this, id, until] {
            return m_state.pool.openConnections(id) == 0 || MonotonicClock::now() >= until;
        };
    }

    static std::string wholeStream(const ReceivedRequest &received)
    {
        return streamHead(received.fields.at("Id")) + eventChunk(1) + eventChunk(2) + "0\r\n\r\n";
    }

    /// Answers the first time a moment after the node has left, and at once afterwards.
    ScriptedBackend::Script heldUntilLeft(int server = 1, Duration latest = LatestRelease)
    {
        return [this, server, latest, asked = 0](const ReceivedRequest &received) mutable {
            const bool isStream = m_state.table->config().routes[0].kind == RequestKind::Stream;
            const std::string bytes =
                    isStream ? wholeStream(received) : answer(received.fields.at("Id"), "held");
            if (++asked > 1) {
                return ScriptedAnswer{bytes, NextAction::KeepOpen};
            }
            return ScriptedAnswer{
                    "", NextAction::KeepOpen, {}, {{bytes, leavesOr(server, latest)}}};
        };
    }

    /// Sends one event, then holds the rest until the node has left. Refuses to resume, as an
    /// engine without a free slot does.
    ScriptedBackend::Script pausesUntilLeft(bool resumes)
    {
        return [this, resumes](const ReceivedRequest &received) {
            const std::string head = streamHead(received.fields.at("Id"));
            if (received.fields.contains("Resume")) {
                return resumes ? ScriptedAnswer{head + eventChunk(2) + "0\r\n\r\n",
                                                NextAction::KeepOpen}
                               : refused(received);
            }
            return ScriptedAnswer{head + eventChunk(1),
                                  NextAction::KeepOpen,
                                  {},
                                  {{eventChunk(2) + "0\r\n\r\n", leavesOr(1, milliseconds(2000))}}};
        };
    }

    /// Answers with an error of its own, as a server does that lacks what the request names.
    static ScriptedBackend::Script errs(int status)
    {
        return [status](const ReceivedRequest &received) {
            return ScriptedAnswer{answer(received.fields.at("Id"), "lacking", status),
                                  NextAction::KeepOpen};
        };
    }

    void setSlowSafe(int mostBackends = 2, Duration timeout = Ample)
    {
        setRoute(RequestKind::Safe, false, timeout, milliseconds(20), mostBackends);
    }

    void setSlowStream(int mostBackends = 2, Duration timeout = Ample)
    {
        m_longestPause = milliseconds(20);
        setRoute(RequestKind::Stream, true, timeout, milliseconds(20), mostBackends);
    }

    /// Allows exactly one retry.
    void allowOneRetry()
    {
        m_state.retryBudget = retryBudgetInUse({0, 2, std::chrono::seconds(10)});
    }

    /// Runs an action once, in the tick in which the node leaves the first server and before it
    /// looks for another one.
    void whenLeavingFirst(std::function<void()> action)
    {
        m_state.ticker.onStep = [this, done = false,
                                 action = std::move(action)](TimePoint /*now*/) mutable {
            if (!done && hasLeftFirst()) {
                done = true;
                action();
            }
        };
    }

    /// Gives the servers these versions of the weights, in order.
    void setWeights(const std::vector<std::uint64_t> &weights)
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i) {
            m_entries[i].weights[ModelId("m")] = weights[i];
        }
        m_state.tracker.setBackends(m_entries);
    }

    /// Announces weights so that requests on the old ones are hedged after @p untilHedge. They are
    /// withdrawn much later.
    void announce(Duration untilHedge = milliseconds(400))
    {
        constexpr Duration Margin = std::chrono::seconds(10);
        m_state.settings.expiryHedgeMargin = Margin;
        const Duration left = untilHedge + Margin;
        const TimePoint now = MonotonicClock::now();
        const TimePoint namedAt = now + left - m_state.settings.rates.oldWeightsPeriod;
        m_state.tracker.weightsAnnounced({ModelId("m"), {2, namedAt, namedAt}},
                                         AnnouncementSource::Read, now);
    }

    static std::string requestForModel(const std::string &id)
    {
        return "POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nModel: m\r\nId: " + id
               + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    int askModel(const std::string &id)
    {
        connect();
        send(requestForModel(id));
        return receive();
    }

    /// Starts a stream that does not end in time. @return the time after which the node cut it
    Duration timeUntilCut(Duration deadline, Duration timeout)
    {
        setRoute(RequestKind::Stream, true, timeout);
        addBackend([this](const ReceivedRequest &received) {
            return ScriptedAnswer{streamHead(received.fields.at("Id")) + eventChunk(1),
                                  NextAction::KeepOpen,
                                  {},
                                  {{eventChunk(2) + "0\r\n\r\n", leavesOr(1, milliseconds(1500))}}};
        });
        connect();
        const TimePoint sent = MonotonicClock::now();
        const auto left = std::chrono::duration_cast<milliseconds>(deadline).count();
        send("POST /a/x HTTP/1.1\r\nHost: h\r\nKey: k\r\nDeadline: " + std::to_string(left)
             + "\r\nId: 1\r\nContent-Length: 2\r\n\r\nhi");
        EXPECT_EQ(receive(), 0);
        return MonotonicClock::now() - sent;
    }

    static constexpr const char *TwoEvents = "id: 1\ndata: d\n\nid: 2\ndata: d\n\n";
};

inline ScriptedAnswer reset(const ReceivedRequest & /*received*/)
{
    return {"", NextAction::Reset};
}

inline ScriptedAnswer silent(const ReceivedRequest & /*received*/)
{
    return {"", NextAction::Hang};
}

} // namespace vanilladyke
