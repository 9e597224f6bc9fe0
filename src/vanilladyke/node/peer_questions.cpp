#include "vanilladyke/node/peer_questions.hpp"

#include "node_load.pb.h"

namespace vanilladyke {

namespace {

void write(const std::optional<RecordRelay::News> &news, wire::TopicNews *out)
{
    out->set_known(news.has_value());
    if (!news) {
        return;
    }
    out->set_next(news->next);
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(news->age);
    out->set_age_us(static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)) + 1);
    for (const RecordRelay::Change &change : news->changes) {
        wire::TopicRecord *record = out->add_records();
        record->set_offset(change.offset);
        record->set_bytes(change.record);
    }
}

std::optional<RecordRelay::News> read(const wire::TopicNews &in)
{
    if (!in.known()) {
        return std::nullopt;
    }
    RecordRelay::News news;
    news.next = in.next();
    news.age = std::chrono::microseconds(in.age_us());
    for (const wire::TopicRecord &record : in.records()) {
        news.changes.push_back({record.offset(), record.bytes()});
    }
    return news;
}

} // namespace

PeerQuestions::PeerQuestions(asio::io_context &context, const StateFollower &follower,
                             Endpoint listen, std::uint64_t seed)
    : m_context(context)
    , m_follower(follower)
    , m_listen(std::move(listen))
    , m_random(seed)
    , m_socket(context)
{}

std::optional<std::string> PeerQuestions::open()
{
    ErrorCode error;
    const auto address = asio::ip::make_address(m_listen.host, error);
    const Udp::endpoint endpoint(address, m_listen.port);
    if (!error) {
        m_socket.open(endpoint.protocol(), error);
    }
    if (!error) {
        m_socket.bind(endpoint, error);
    }
    if (error) {
        return m_listen.str() + ": " + error.message();
    }
    m_socket.non_blocking(true, error);
    asio::co_spawn(m_context, receive(), asio::detached);
    return std::nullopt;
}

asio::awaitable<std::optional<SharedNews>>
PeerQuestions::ask(Endpoint peer, std::uint64_t operatorNext, std::uint64_t backendsNext)
{
    ErrorCode error;
    const Udp::endpoint to(asio::ip::make_address(peer.host, error), peer.port);
    if (error || !m_seal.isReady()) {
        co_return std::nullopt;
    }
    wire::NodeMessage message;
    const std::uint64_t question = m_random();
    message.set_question(question);
    message.mutable_ask()->set_operator_next(operatorNext);
    message.mutable_ask()->set_backends_next(backendsNext);
    const auto waiting = std::make_shared<Waiting>(
            Waiting{asio::steady_timer(m_context, AnswerTime), std::nullopt});
    m_waiting[question] = waiting;
    const std::string datagram = m_seal.seal(message.SerializeAsString());
    m_socket.send_to(asio::buffer(datagram), to, 0, error);
    co_await waiting->timer.async_wait(into(error));
    m_waiting.erase(question);
    co_return std::move(waiting->news);
}

asio::awaitable<void> PeerQuestions::receive()
{
    for (;;) {
        ErrorCode error;
        Udp::endpoint from;
        const std::size_t size =
                co_await m_socket.async_receive_from(asio::buffer(m_buffer), from, into(error));
        if (!m_socket.is_open()) {
            co_return;
        }
        if (!error) {
            take({m_buffer.data(), size}, from);
        }
    }
}

void PeerQuestions::take(std::string_view datagram, const Udp::endpoint &from)
{
    const auto opened = m_seal.open(datagram);
    wire::NodeMessage message;
    if (!opened || !message.ParseFromArray(opened->data(), static_cast<int>(opened->size()))) {
        return;
    }
    if (message.has_ask()) {
        const SharedNews news =
                m_follower.newsSince(message.ask().operator_next(), message.ask().backends_next());
        wire::NodeMessage answer;
        answer.set_question(message.question());
        write(news.configuration, answer.mutable_news()->mutable_configuration());
        write(news.backends, answer.mutable_news()->mutable_backends());
        const std::string bytes = m_seal.seal(answer.SerializeAsString());
        ErrorCode ignored; // one that hears nothing reads for itself
        m_socket.send_to(asio::buffer(bytes), from, 0, ignored);
        return;
    }
    const auto waiting = m_waiting.find(message.question());
    if (message.has_news() && waiting != m_waiting.end()) {
        waiting->second->news =
                SharedNews{read(message.news().configuration()), read(message.news().backends())};
        waiting->second->timer.cancel();
    }
}

} // namespace vanilladyke
