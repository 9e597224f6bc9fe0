#include "vanilladyke/node/peer_queries.hpp"

#include "node_load.pb.h"

namespace vanilladyke {

namespace {

void write(const std::optional<RecordRelay::Updates> &updates, wire::TopicNews *out)
{
    out->set_known(updates.has_value());
    if (!updates) {
        return;
    }
    out->set_next(updates->next);
    out->set_era(updates->era);
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(updates->age);
    out->set_age_us(static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)) + 1);
    for (const RecordRelay::Change &change : updates->changes) {
        wire::TopicRecord *record = out->add_records();
        record->set_offset(change.offset);
        record->set_bytes(change.record);
    }
}

std::optional<RecordRelay::Updates> read(const wire::TopicNews &in)
{
    if (!in.known()) {
        return std::nullopt;
    }
    RecordRelay::Updates updates;
    updates.next = in.next();
    updates.era = in.era();
    updates.age = std::chrono::microseconds(in.age_us());
    for (const wire::TopicRecord &record : in.records()) {
        updates.changes.push_back({record.offset(), record.bytes(), {}});
    }
    return updates;
}

} // namespace

PeerQueries::PeerQueries(asio::io_context &context, const StateFollower &follower, Endpoint listen,
                         std::uint64_t seed)
    : m_context(context)
    , m_follower(follower)
    , m_random(seed)
    , m_port(context, std::move(listen))
{}

std::optional<std::string> PeerQueries::open()
{
    return m_port.open(
            [this](std::string_view bytes, const Udp::endpoint &from) { receive(bytes, from); });
}

asio::awaitable<std::optional<SharedUpdates>>
PeerQueries::ask(Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext)
{
    const auto to = SignedPort::addressOf(peer);
    if (!to) {
        co_return std::nullopt;
    }
    wire::NodeMessage message;
    const std::uint64_t requestId = m_random();
    message.set_question(requestId);
    message.mutable_ask()->set_operator_next(operatorNext);
    message.mutable_ask()->set_backends_next(backendsNext);
    const auto pending = std::make_shared<PendingRequest>(
            PendingRequest{asio::steady_timer(m_context, AnswerTimeout), std::nullopt});
    m_pending[requestId] = pending;
    m_port.send(message.SerializeAsString(), {*to});
    ErrorCode ignored;
    co_await pending->timer.async_wait(redirectError(ignored));
    m_pending.erase(requestId);
    co_return std::move(pending->updates);
}

void PeerQueries::receive(std::string_view bytes, const Udp::endpoint &from)
{
    wire::NodeMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return;
    }
    if (message.has_ask()) {
        const SharedUpdates updates = m_follower.updatesSince(message.ask().operator_next(),
                                                              message.ask().backends_next());
        wire::NodeMessage answer;
        answer.set_question(message.question());
        write(updates.configuration, answer.mutable_news()->mutable_configuration());
        write(updates.backends, answer.mutable_news()->mutable_backends());
        m_port.send(answer.SerializeAsString(), {from}); // without it the peer reads the store
        return;
    }
    const auto pending = m_pending.find(message.question());
    if (message.has_news() && pending != m_pending.end()) {
        pending->second->updates = SharedUpdates{read(message.news().configuration()),
                                                 read(message.news().backends())};
        pending->second->timer.cancel();
    }
}

} // namespace vanilladyke
