#pragma once

#include "vanilladyke/traffic/exchange_fixture.hpp"

/// Fixture of the tests of answers whose heads are none.
namespace vanilladyke {

/// The texts one after the other.
inline std::string joined(std::initializer_list<std::string_view> texts)
{
    std::string result;
    for (const std::string_view each : texts) {
        result += each;
    }
    return result;
}

/// Servers whose answers have a head that is none.
class BrokenHeadTest : public ExchangeTest
{
protected:
    /// Asks a new server that sends these bytes and then closes in order. @return the status
    int askFor(const std::string &bytes, NextAction ending = NextAction::Close)
    {
        m_entries.clear();
        m_buffer.clear();
        addBackend([=](const ReceivedRequest &) { return ScriptedAnswer{bytes, ending}; });
        m_entries.back().id = EngineId("broken" + std::to_string(++m_asked));
        m_state.tracker.setBackends(m_entries);
        return ask("1");
    }

    /// Checks that nothing is made of an answer, on each kind of route, whatever follows its head.
    void expectNone(const std::string &statusLine, const std::string &fields,
                    const std::string &body = "")
    {
        for (const RequestKind kind :
             {RequestKind::Unsafe, RequestKind::Safe, RequestKind::Stream}) {
            setRoute(kind, kind == RequestKind::Stream, std::chrono::seconds(5),
                     std::chrono::seconds(2), 1);
            const std::string start = joined({statusLine, "\r\nId: 1\r\nStamp: s\r\n", fields});
            for (const std::string &rest : {std::string(), body, inner, refusal}) {
                for (const NextAction ending : {NextAction::Close, NextAction::Reset}) {
                    const int status = askFor(joined({start, "\r\n", rest}), ending);
                    EXPECT_EQ(status, 502) << m_body << "\nfor\n" << start << "\n" << rest;
                }
            }
        }
    }

    /// A body that reads like an answer to the request.
    static inline const std::string inner =
            "HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 5\r\n\r\ninner";
    /// A body that reads like the statement that the request was not run.
    static inline const std::string refusal =
            "HTTP/1.1 503 X\r\nId: 1\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";

    int m_asked = 0;
};

} // namespace vanilladyke
