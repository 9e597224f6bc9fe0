#include "vanilladyke/node/place_sharing.hpp"

#include "node_load.pb.h"
#include "vanilladyke/base/log.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// A node that knows an engine's brittleness for less than this has heard of its beginning, and no
/// grantor came before it.
constexpr Duration BeganWithin = std::chrono::seconds(2);

std::uint32_t millis(Duration span)
{
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(span).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

} // namespace

PlaceSharing::PlaceSharing(TrafficState &state, const Udp::endpoint &self, Send send)
    : m_state(state)
    , m_send(std::move(send))
    , m_self(keyOf(self))
    , m_grantors(m_self)
{}

std::uint64_t PlaceSharing::keyOf(const Udp::endpoint &node)
{
    const std::uint64_t key = hashOfName(Endpoint{node.address().to_string(), node.port()}.str());
    m_nodes.insert_or_assign(key, node);
    return key;
}

void PlaceSharing::nodeTold(const Udp::endpoint &node, const wire::NodeLoad &update, TimePoint now)
{
    const std::uint64_t key = keyOf(node);
    m_grantors.nodeSeen(key, update.grants_places(), now);
    for (auto &[engine, book] : m_books) {
        int inFlight = 0;
        for (const wire::BackendLoad &load : update.backends()) {
            inFlight = load.backend() == engine ? static_cast<int>(load.in_flight()) : inFlight;
        }
        book.places.nodeTold(key, inFlight, now);
    }
}

void PlaceSharing::repeatReturns()
{
    for (const auto &[grantor, returned] : m_repeats) {
        sendReturns(grantor, returned);
    }
    m_repeats.clear();
}

void PlaceSharing::step(bool isListening, TimePoint now)
{
    repeatReturns();
    m_grantors.setListening(isListening, now);
    m_grantors.setGranting(!m_state.isDraining);
    for (const std::uint64_t gone : m_grantors.takeGone(now)) {
        for (auto &[engine, book] : m_books) {
            book.places.nodeGone(gone);
        }
    }
    for (auto &[engine, book] : m_books) {
        grantQueued(engine, book, now);
    }
    std::erase_if(m_books, [&](const auto &item) {
        const bool isUnused =
                item.second.places.isIdle() && now - item.second.usedAt > BookLifetime;
        return isUnused || !m_state.tracker.roomTerms(item.first);
    });
}

PlaceSharing::Book *PlaceSharing::bookOf(std::uint64_t engine, double rejections, TimePoint now)
{
    const auto room = m_state.tracker.roomTerms(engine);
    if (!room) {
        return nullptr;
    }
    PlaceTerms terms{room->slots, 0, rejections};
    const ServiceSpec *const service =
            m_state.table == nullptr ? nullptr : m_state.table->service(room->service);
    if (service != nullptr) {
        terms.memoryTokens = static_cast<double>(service->cacheTokens);
    }
    auto found = m_books.find(engine);
    if (found == m_books.end()) {
        const bool hasJustBegun = room->brittleSince && now - *room->brittleSince < BeganWithin
                                  && m_grantors.isSettledSince(now - BeganWithin);
        const TimePoint openFrom = hasJustBegun ? now : now + m_grantors.handoverPause();
        found = m_books.emplace(engine, Book{PlaceBook(terms, openFrom, now), now}).first;
        LogEvent("place_book_opened")
                .field("backend", room->id.str())
                .field("slots", terms.slots)
                .field("memory", static_cast<std::uint64_t>(terms.memoryTokens))
                .field("rejections", rejections)
                .field("share", m_grantors.share(now))
                .field("in_ms", openFrom - now);
    }
    found->second.places.setTerms(terms, m_grantors.share(now));
    found->second.usedAt = now;
    return &found->second;
}

asio::awaitable<PlaceReply> PlaceSharing::ask(PlaceQuery query)
{
    const TimePoint begin = MonotonicClock::now();
    const TimePoint end = begin + std::max(query.patience, AnswerTimeout);
    PlaceTicket ticket;
    ticket.engine = BackendTracker::hashOf(query.engine);
    ticket.id = m_state.random();
    ticket.grantor = m_grantors.grantorOf(ticket.engine, begin);
    const auto pending = std::make_shared<Pending>(
            Pending{asio::steady_timer(m_state.context), std::nullopt, {}});
    m_pending[ticket.id] = pending;
    for (TimePoint now = begin; now < end; now = MonotonicClock::now()) {
        if (!pending->verdict && now - begin >= AnswerTimeout) {
            break; // the grantor is silent
        }
        sendAsk(ticket, query, begin + query.patience - now, now);
        if (pending->isFinal()) {
            break; // this node is the grantor
        }
        pending->timer.expires_at(std::min(end, now + RepeatAfter));
        ErrorCode ignored;
        co_await pending->timer.async_wait(redirectError(ignored));
        if (pending->isFinal()) {
            break;
        }
    }
    m_pending.erase(ticket.id);
    PlaceReply reply;
    reply.ticket = ticket;
    reply.isGranted = pending->verdict == PlaceVerdict::Granted;
    reply.isSilent = !pending->verdict;
    reply.retryAfter = pending->verdict ? pending->retryAfter : SilentPause;
    if (!pending->isFinal()) {
        giveBack(ticket, PlaceEnd::Unused, std::nullopt); // granted meanwhile, perhaps
    }
    m_state.metrics.count("places_asked_total{end=\""
                          + std::string(reply.isGranted      ? "granted"
                                        : pending->isFinal() ? "denied"
                                        : pending->verdict   ? "waited"
                                                             : "silent")
                          + "\"}");
    m_state.metrics.observe("place_wait_seconds", MonotonicClock::now() - begin);
    co_return reply;
}

void PlaceSharing::sendAsk(const PlaceTicket &ticket, const PlaceQuery &query, Duration patience,
                           TimePoint now)
{
    wire::Places message;
    wire::PlaceRequest &request = *message.add_asks();
    request.set_engine(ticket.engine);
    request.set_id(ticket.id);
    request.set_tokens(query.tokens);
    request.set_urgency(static_cast<std::uint32_t>(query.urgency));
    request.set_patience_ms(millis(patience));
    request.set_rejections(query.rejections);
    const auto grantor = m_nodes.find(ticket.grantor);
    if (grantor == m_nodes.end()) {
        return;
    }
    if (ticket.grantor == m_self) {
        answerAsk(request, grantor->second, now);
    } else {
        m_send(message, grantor->second);
    }
}

void PlaceSharing::answerAsk(const wire::PlaceRequest &request, const Udp::endpoint &from,
                             TimePoint now)
{
    const std::uint64_t node = keyOf(from);
    PlaceAnswer answer{node, request.id(), PlaceVerdict::Denied, SilentPause};
    // A grantor of another view, or one that knows nobody yet, would grant places twice.
    const bool isGrantor =
            m_grantors.grantorOf(request.engine(), now) == m_self && m_grantors.isSettled(now);
    Book *const book = isGrantor ? bookOf(request.engine(), request.rejections(), now) : nullptr;
    if (book != nullptr) {
        PlaceAsk ask;
        ask.node = node;
        ask.id = request.id();
        ask.tokens = request.tokens();
        ask.urgency = static_cast<int>(request.urgency());
        ask.patience = std::chrono::milliseconds(request.patience_ms());
        answer = book->places.ask(ask, m_state.tracker.toldInFlight(request.engine()), now);
    }
    deliver(request.engine(), answer);
}

void PlaceSharing::deliver(std::uint64_t engine, const PlaceAnswer &answer)
{
    if (answer.node == m_self) {
        applyAnswer(answer.id, answer.verdict, answer.retryAfter);
        return;
    }
    const auto node = m_nodes.find(answer.node);
    if (node == m_nodes.end()) {
        return;
    }
    wire::Places message;
    wire::PlaceGrant &grant = *message.add_answers();
    grant.set_engine(engine);
    grant.set_id(answer.id);
    grant.set_verdict(static_cast<std::uint32_t>(answer.verdict));
    grant.set_retry_ms(millis(answer.retryAfter));
    m_send(message, node->second);
}

void PlaceSharing::applyAnswer(std::uint64_t id, PlaceVerdict verdict, Duration retryAfter)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end() || found->second->isFinal()) {
        return;
    }
    found->second->verdict = verdict;
    found->second->retryAfter = retryAfter;
    if (found->second->isFinal()) {
        found->second->timer.cancel();
    }
}

void PlaceSharing::giveBack(const PlaceTicket &ticket, PlaceEnd end,
                            const std::optional<ReportedLoad> &load)
{
    Returned returned{ticket.engine, {m_self, ticket.id, end, std::nullopt, std::nullopt}};
    if (load) {
        returned.place.running = load->running;
        returned.place.waiting = load->waiting;
    }
    if (ticket.grantor == m_self) {
        applyReturn(ticket.engine, returned.place, MonotonicClock::now());
        return;
    }
    sendReturns(ticket.grantor, {returned});
    m_repeats[ticket.grantor].push_back(returned);
}

void PlaceSharing::sendReturns(std::uint64_t grantor, const std::vector<Returned> &returned)
{
    const auto node = m_nodes.find(grantor);
    if (node == m_nodes.end()) {
        return;
    }
    wire::Places message;
    for (const Returned &each : returned) {
        wire::PlaceRelease &release = *message.add_returns();
        release.set_engine(each.engine);
        release.set_id(each.place.id);
        release.set_end(static_cast<std::uint32_t>(each.place.end));
        release.set_has_load(each.place.running.has_value());
        release.set_running(static_cast<std::uint32_t>(each.place.running.value_or(0)));
        release.set_waiting(static_cast<std::uint32_t>(each.place.waiting.value_or(0)));
    }
    m_send(message, node->second);
}

void PlaceSharing::applyReturn(std::uint64_t engine, const PlaceReturn &place, TimePoint now)
{
    const auto book = m_books.find(engine);
    if (book == m_books.end()) {
        return;
    }
    const int before = book->second.places.places();
    book->second.places.giveBack(place, now);
    const int after = book->second.places.places();
    if (after < before) {
        LogEvent("places_reduced")
                .field("engine", engine)
                .field("from", before)
                .field("to", after)
                .field("rejected", place.end == PlaceEnd::Rejected)
                .field("running", place.running.value_or(-1))
                .field("waiting", place.waiting.value_or(-1))
                .field("held", book->second.places.held())
                .field("queued", book->second.places.queued());
    }
    grantQueued(engine, book->second, now);
}

void PlaceSharing::grantQueued(std::uint64_t engine, Book &book, TimePoint now)
{
    const int told = m_state.tracker.toldInFlight(engine);
    for (const PlaceAnswer &answer : book.places.grantQueued(told, now)) {
        deliver(engine, answer);
    }
}

void PlaceSharing::receive(const wire::Places &message, const Udp::endpoint &from)
{
    const TimePoint now = MonotonicClock::now();
    for (const wire::PlaceRequest &each : message.asks()) {
        answerAsk(each, from, now);
    }
    for (const wire::PlaceGrant &each : message.answers()) {
        const bool isKnown = each.verdict() <= static_cast<std::uint32_t>(PlaceVerdict::Queued);
        applyAnswer(each.id(),
                    isKnown ? static_cast<PlaceVerdict>(each.verdict()) : PlaceVerdict::Denied,
                    std::chrono::milliseconds(each.retry_ms()));
    }
    for (const wire::PlaceRelease &each : message.returns()) {
        const bool isKnown = each.end() <= static_cast<std::uint32_t>(PlaceEnd::Rejected);
        PlaceReturn place{keyOf(from), each.id(),
                          isKnown ? static_cast<PlaceEnd>(each.end()) : PlaceEnd::Aborted,
                          std::nullopt, std::nullopt};
        if (each.has_load()) {
            place.running = static_cast<int>(each.running());
            place.waiting = static_cast<int>(each.waiting());
        }
        applyReturn(each.engine(), place, now);
    }
}

} // namespace vanilladyke
