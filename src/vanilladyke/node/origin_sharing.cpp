#include "vanilladyke/node/origin_sharing.hpp"

#include "node_load.pb.h"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Origins in one datagram, so that it fits into one packet.
constexpr int MaxOrigins = 50;

/// Cap of the ages that are sent; a list that is older proves nothing.
constexpr Duration MaxListAge = std::chrono::hours(1);

std::uint64_t hashOf(const OriginSharing::Udp::endpoint &node)
{
    return hashOfName(Endpoint{node.address().to_string(), node.port()}.str());
}

void write(const StreamOrigin &origin, TimePoint now, wire::StreamOrigin *out)
{
    out->set_attempt(origin.attempt);
    out->set_software(origin.software);
    const auto lives = std::chrono::ceil<std::chrono::milliseconds>(origin.until - now);
    out->set_lives_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(lives.count(), 0)));
}

StreamOrigin read(const wire::StreamOrigin &origin, TimePoint now)
{
    const Duration lives = std::chrono::milliseconds(origin.lives_ms());
    return {origin.attempt(), origin.software(),
            now + std::min<Duration>(lives, StreamOrigins::MaxLifetime)};
}

} // namespace

OriginSharing::OriginSharing(TrafficState &state, Send send)
    : m_state(state)
    , m_send(std::move(send))
{}

void OriginSharing::setPeers(const std::vector<Udp::endpoint> &peers)
{
    m_homes.nodesListed(peers, MonotonicClock::now());
}

std::vector<OriginSharing::Udp::endpoint>
OriginSharing::homesOf(std::uint64_t attempt, std::size_t most, TimePoint now) const
{
    return m_homes.homes(attempt, most, hashOf, now);
}

void OriginSharing::tell(const StreamOrigin &origin)
{
    const TimePoint now = MonotonicClock::now();
    wire::StreamOrigins message;
    write(origin, now, message.add_told());
    m_state.metrics.count("stream_origins_told_total");
    m_send(message, homesOf(origin.attempt, OriginHomes<Udp::endpoint>::Told, now));
}

void OriginSharing::tellAll()
{
    const TimePoint now = MonotonicClock::now();
    std::map<Udp::endpoint, wire::StreamOrigins> messages;
    for (const StreamOrigin &each : m_state.origins.live(now)) {
        for (const Udp::endpoint &home :
             homesOf(each.attempt, OriginHomes<Udp::endpoint>::Told, now)) {
            wire::StreamOrigins &message = messages[home];
            write(each, now, message.add_told());
            if (message.told_size() == MaxOrigins) {
                m_send(message, {home});
                message.clear_told();
            }
        }
    }
    for (const auto &[home, message] : messages) {
        if (message.told_size() > 0) {
            m_send(message, {home});
        }
    }
}

asio::awaitable<OriginReport> OriginSharing::ask(OriginQuery query)
{
    const TimePoint begin = MonotonicClock::now();
    const auto question =
            std::make_shared<Question>(Question{asio::steady_timer(m_state.context), {}, 0, {}});
    const std::uint64_t id = m_state.random();
    m_questions[id] = question;
    wire::StreamOrigins message;
    message.set_question(id);
    message.mutable_ask()->set_attempt(query.attempt);
    message.mutable_ask()->set_service(query.service.str());
    for (TimePoint until = begin + RepeatAfter; until <= begin + AnswerTimeout;
         until += RepeatAfter) {
        // A node that has just started hears of the others meanwhile.
        const auto homes =
                homesOf(query.attempt, OriginHomes<Udp::endpoint>::Asked, MonotonicClock::now());
        question->asked = homes.size();
        m_send(message, homes);
        question->timer.expires_at(until);
        ErrorCode ignored;
        co_await question->timer.async_wait(redirectError(ignored));
        if (question->isDone()) {
            break;
        }
    }
    m_questions.erase(id);
    co_return question->report;
}

bool OriginSharing::Question::isDone() const
{
    // One that knows the attempt suffices. That there was one version only, each may deny.
    return report.software || (asked > 0 && answered.size() >= asked);
}

void OriginSharing::receive(const wire::StreamOrigins &message, const Udp::endpoint &from)
{
    const TimePoint now = MonotonicClock::now();
    for (const wire::StreamOrigin &each : message.told()) {
        m_state.origins.record(read(each, now), now);
    }
    if (message.has_ask()) {
        answer(message, from);
    }
    if (message.has_answer()) {
        receiveAnswer(message, from);
    }
}

void OriginSharing::answer(const wire::StreamOrigins &message, const Udp::endpoint &from)
{
    const TimePoint now = MonotonicClock::now();
    wire::StreamOrigins reply;
    reply.set_question(message.question());
    wire::StreamOriginAnswer *const out = reply.mutable_answer();
    const auto known = m_state.origins.find(message.ask().attempt(), now);
    out->set_is_known(known.has_value());
    out->set_software(known.value_or(0));
    const auto only = m_state.software.onlyVersion(ServiceId(message.ask().service()), now);
    out->set_is_only(only.has_value());
    out->set_only(only.value_or(0));
    out->set_is_several(m_state.software.view(ServiceId(message.ask().service()), now).possible
                        > 1);
    const Duration age = std::min<Duration>(m_state.backendsAge(), MaxListAge);
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    out->set_list_age_ms(static_cast<std::uint32_t>(millis) + 1);
    m_state.metrics.count("stream_origin_questions_total");
    m_send(reply, {from});
}

void OriginSharing::receiveAnswer(const wire::StreamOrigins &message, const Udp::endpoint &from)
{
    const auto found = m_questions.find(message.question());
    if (found == m_questions.end()) {
        return;
    }
    Question &question = *found->second;
    std::vector<Udp::endpoint> &answered = question.answered;
    const wire::StreamOriginAnswer &answer = message.answer();
    OriginReport &report = question.report;
    if (std::find(answered.begin(), answered.end(), from) == answered.end()) {
        answered.push_back(from);
        report.saidOnly += answer.is_only() ? 1 : 0;
        report.saidSeveral += answer.is_several() ? 1 : 0;
    }
    report.answers = answered.size();
    if (answer.is_known()) {
        report.software = answer.software();
    }
    if (answer.is_only() && answer.list_age_ms() > 0) { // an older build tells no age
        const bool differs = report.only && *report.only != answer.only();
        report.saidSeveral += differs ? 1 : 0;
        report.only = answer.only();
        report.onlyListedAt =
                MonotonicClock::now() - std::chrono::milliseconds(answer.list_age_ms());
    }
    if (question.isDone()) {
        question.timer.cancel();
    }
}

} // namespace vanilladyke
