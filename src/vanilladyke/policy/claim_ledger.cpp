#include "vanilladyke/policy/claim_ledger.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Approximate size of a record in an append, in bytes.
std::size_t sizeOf(const ClaimRecord &record)
{
    constexpr std::size_t Fixed = 160;
    const auto *outcome = std::get_if<ClaimOutcome>(&record);
    return Fixed + (outcome == nullptr ? 0 : outcome->body.size());
}

bool isSettled(const ClaimRecord &record)
{
    return !std::holds_alternative<Claim>(record);
}

ClaimVerdict verdictOf(const ClaimOutcome &outcome)
{
    switch (outcome.kind) {
    case OutcomeKind::Answered:
        return outcome;
    case OutcomeKind::AnswerTooLarge:
        return Refusal{RefusalReason::OutcomeUnknown,
                       "the call ran and was answered, but the answer is not kept any more",
                       Ran::Unknown,
                       {}};
    case OutcomeKind::Unknown:
        break;
    }
    return Refusal{RefusalReason::OutcomeUnknown,
                   "the call was sent and its outcome is not known",
                   Ran::Unknown,
                   {}};
}

Refusal refusalByAge(KeyAge age)
{
    if (age == KeyAge::InFuture) {
        return {RefusalReason::KeyExpired,
                "the key is dated ahead of this host's clock",
                Ran::No,
                {}};
    }
    // Earlier calls with the key are no longer recorded, so "not run" could be false.
    return {RefusalReason::KeyExpired,
            "the key is older than the claim window; this request sent nothing",
            Ran::Unknown,
            {}};
}

} // namespace

Ran ranOfUnsent(const ClaimRequest &request)
{
    return request.repeat ? Ran::Unknown : Ran::No;
}

ClaimLedger::ClaimLedger(ProcessId process, NodeId node)
    : m_process(std::move(process))
    , m_node(std::move(node))
{}

void ClaimLedger::configure(Duration window, std::uint32_t liveNodes)
{
    m_window = window;
    m_pacer.setLiveNodes(liveNodes);
}

void ClaimLedger::submit(const ClaimRequest &request, ClockReading at)
{
    const TimePoint claimBy = std::min(request.deadline, at.now + ClaimTimeout);
    Waiting waiting{request, {}, at.now, claimBy, false};
    const KeyAge age = checkAge(request.key.key, at.wall, m_window);
    if (age != KeyAge::Valid || !m_fold.covers(request.key.key)) {
        m_decisions.push_back({request.ticket, refusalByAge(age)});
        return;
    }
    if (!isWellFormed(Claim{request.key, {m_process, 1}, m_node, request.request})) {
        m_decisions.push_back(
                {request.ticket, Refusal{RefusalReason::BadRequest,
                                         "the customer's, service's or node's name is too long",
                                         Ran::No,
                                         {}}});
        return;
    }
    if (m_fold.find(request.key) == nullptr) {
        enqueueClaim(waiting);
    }
    const auto placed = m_waiting.insert_or_assign(request.ticket, std::move(waiting)).first;
    if (auto verdict = verdictOn(placed->second, at)) {
        m_decisions.push_back({request.ticket, std::move(*verdict)});
        m_waiting.erase(placed);
    }
}

void ClaimLedger::abandon(ClaimTicket ticket)
{
    // Its claim may still become the key's owner; releaseIfUnused() then releases it.
    m_waiting.erase(ticket);
}

void ClaimLedger::settle(const ClaimRecord &record)
{
    if (m_permitted.erase(nonceOf(record)) == 0) {
        return;
    }
    ClaimRecord kept = record;
    if (auto *outcome = std::get_if<ClaimOutcome>(&kept)) {
        if (!isWellFormed(kept)) {
            *outcome = {outcome->key, outcome->nonce, OutcomeKind::AnswerTooLarge, 0, {}, {}};
        }
        m_unreadOutcomes.insert_or_assign(outcome->nonce, *outcome);
    }
    m_queue.push_back(std::move(kept));
}

void ClaimLedger::enqueueClaim(Waiting &waiting)
{
    waiting.nonce = {m_process, ++m_sequence};
    waiting.isRead = false;
    m_queue.emplace_back(
            Claim{waiting.request.key, waiting.nonce, m_node, waiting.request.request});
}

std::optional<ClaimBatch> ClaimLedger::nextBatch(ClockReading at)
{
    if (m_batchState != BatchState::None || !ready() || m_queue.empty()) {
        return std::nullopt;
    }
    // Drops claims of calls that have been refused or abandoned in the meantime.
    std::set<ClaimNonce> waitingClaims;
    for (const auto &[ticket, waiting] : m_waiting) {
        waitingClaims.insert(waiting.nonce);
    }
    std::erase_if(m_queue, [&](const ClaimRecord &record) {
        return !isSettled(record) && !waitingClaims.contains(nonceOf(record));
    });
    if (m_queue.empty() || !m_pacer.tryTake(at.now)) {
        return std::nullopt;
    }
    std::size_t bytes = 0;
    while (!m_queue.empty() && m_batch.size() < MostRecordsPerAppend
           && bytes < MostBytesPerAppend) {
        bytes += sizeOf(m_queue.front());
        m_batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    m_unread = m_batch;
    m_batchState = BatchState::InProgress;
    return m_batch;
}

std::optional<TimePoint> ClaimLedger::nextAppendAt() const
{
    if (m_batchState != BatchState::None || !ready() || m_queue.empty()) {
        return std::nullopt;
    }
    return m_pacer.readyAt();
}

void ClaimLedger::appended(AppendResult result, std::uint64_t offset, ClockReading at)
{
    if (m_batchState != BatchState::InProgress) {
        return;
    }
    switch (result) {
    case AppendResult::Done:
        m_pacer.succeeded();
        m_appendedAt = at.now;
        m_batchState = BatchState::None;
        if (offset == m_fold.next()) {
            // No records precede it that this node has not read, so the claims can be decided
            // without another read. The whole batch is applied, including records already read at
            // an earlier offset: all other readers apply them twice and must find the same owner.
            apply({offset, at.wall, m_batch});
        }
        m_unread.clear();
        m_batch.clear();
        break;
    case AppendResult::NotDone:
        m_pacer.failed(at.now);
        m_batchState = BatchState::None;
        requeueUnread();
        break;
    case AppendResult::InDoubt:
        // The batch may have been written, or may still be. Only a read that begins after this
        // point resolves that; until then none of it is appended again.
        m_pacer.failed(at.now);
        m_batchState = BatchState::InDoubt;
        m_inDoubtSince = at.now;
        break;
    }
    decide(at);
}

void ClaimLedger::requeueUnread()
{
    m_queue.insert(m_queue.begin(), m_unread.begin(), m_unread.end());
    m_unread.clear();
    m_batch.clear();
}

void ClaimLedger::read(const ClaimPage &page, ClockReading at)
{
    const std::uint64_t start =
            page.records.empty() ? page.firstOffset : page.records.front().offset;
    const bool startsLater = m_fold.next() < start;
    // A read that began before an append of this node may return the state before it.
    const bool wentBack = page.nextOffset < m_fold.next() && page.askedAt > m_appendedAt;
    if (wentBack || (startsLater && page.records.empty())) {
        // The log dropped records that this node has not read, and their age is unknown.
        m_fold.skipTo(page.firstOffset, at.wall + ClockSkew);
    } else if (startsLater) {
        m_fold.skipTo(start, coveredFrom(page.records.front().appendedAt));
    }
    for (const ClaimLogRecord &record : page.records) {
        if (record.offset >= m_fold.next()) {
            apply(record);
        }
    }
    if (m_fold.next() >= page.nextOffset) {
        m_readThrough = page.askedAt;
        if (m_batchState == BatchState::InDoubt && page.askedAt > m_inDoubtSince) {
            m_batchState = BatchState::None;
            requeueUnread();
        }
    }
    decide(at);
}

void ClaimLedger::apply(const ClaimLogRecord &record)
{
    m_fold.apply(record.offset, record.batch);
    for (const ClaimRecord &each : record.batch) {
        if (nonceOf(each).process == m_process) {
            applyOwn(each);
            releaseIfUnused(keyOf(each));
        }
    }
}

void ClaimLedger::applyOwn(const ClaimRecord &record)
{
    std::erase(m_unread, record);
    if (std::holds_alternative<ClaimOutcome>(record)) {
        m_unreadOutcomes.erase(nonceOf(record));
        return;
    }
    for (auto &[ticket, waiting] : m_waiting) {
        waiting.isRead = waiting.isRead || waiting.nonce == nonceOf(record);
    }
}

/// Releases a claim of this node that owns the key although its call is no longer waiting, for
/// example because it was refused while the append was in doubt. The refusal stated that nothing
/// ran, so the call is never sent; without a release, every repeat would wait for an outcome that
/// is never recorded.
void ClaimLedger::releaseIfUnused(const ClaimKey &key)
{
    const ClaimEntry *entry = m_fold.find(key);
    if (entry == nullptr || entry->stage != ClaimStage::Claimed
        || entry->owner.process != m_process) {
        return;
    }
    const ClaimNonce owner = entry->owner;
    const bool isWaiting = std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto &each) {
        return each.second.nonce == owner;
    });
    if (isWaiting || m_permitted.contains(owner) || m_unreadOutcomes.contains(owner)) {
        return;
    }
    const ClaimRecord release = ClaimRelease{key, owner};
    const auto holds = [&](const auto &records) {
        return std::find(records.begin(), records.end(), release) != records.end();
    };
    if (!holds(m_queue) && !holds(m_unread)) {
        m_queue.push_back(release);
    }
}

void ClaimLedger::tick(ClockReading at)
{
    decide(at);
    m_fold.dropBefore(droppableBefore(at.wall, m_window));
}

void ClaimLedger::decide(ClockReading at)
{
    std::vector<ClaimKey> decidedKeys;
    for (auto each = m_waiting.begin(); each != m_waiting.end();) {
        Step verdict = verdictOn(each->second, at);
        if (!verdict) {
            ++each;
            continue;
        }
        decidedKeys.push_back(each->second.request.key);
        m_decisions.push_back({each->first, std::move(*verdict)});
        each = m_waiting.erase(each);
    }
    for (const ClaimKey &key : decidedKeys) {
        releaseIfUnused(key);
    }
}

ClaimLedger::Step ClaimLedger::verdictOn(Waiting &waiting, ClockReading at)
{
    const ClaimEntry *entry = m_fold.find(waiting.request.key);
    if (entry == nullptr) {
        return onFreeKey(waiting, at, false);
    }
    if (entry->request != waiting.request.request) {
        return Refusal{RefusalReason::KeyReused,
                       "the key was used before, for a call with another body",
                       Ran::No,
                       {}};
    }
    if (entry->stage == ClaimStage::Settled) {
        return verdictOf(*entry->outcome);
    }
    if (entry->stage == ClaimStage::Released) {
        return onFreeKey(waiting, at, entry->released.size() >= MostReleases);
    }
    return entry->owner == waiting.nonce ? onOwnClaim(waiting, at) : onOthersClaim(waiting, at);
}

ClaimLedger::Step ClaimLedger::onOwnClaim(const Waiting &waiting, ClockReading at)
{
    if (at.now >= waiting.request.deadline) {
        return Refusal{RefusalReason::TooLate,
                       "the deadline passed before sending",
                       ranOfUnsent(waiting.request),
                       {}};
    }
    if (!m_fold.covers(waiting.request.key.key)) {
        return refusalByAge(KeyAge::Expired);
    }
    m_permitted.insert(waiting.nonce);
    return SendPermit{waiting.nonce};
}

ClaimLedger::Step ClaimLedger::onOthersClaim(const Waiting &waiting, ClockReading at) const
{
    const auto local = m_unreadOutcomes.find(m_fold.find(waiting.request.key)->owner);
    if (local != m_unreadOutcomes.end()) {
        return verdictOf(local->second);
    }
    if (at.now < waiting.request.deadline) {
        return std::nullopt;
    }
    return Refusal{RefusalReason::OutcomeUnknown,
                   "another call with the key was sent, or may be, and has not been answered",
                   Ran::Unknown,
                   {}};
}

ClaimLedger::Step ClaimLedger::onFreeKey(Waiting &waiting, ClockReading at, bool isExhausted)
{
    if (isExhausted) {
        return Refusal{RefusalReason::KeyExpired,
                       "the key was given up too often; nothing ran under it",
                       Ran::No,
                       {}};
    }
    if (at.now >= waiting.claimBy) {
        return Refusal{RefusalReason::LogUnavailable,
                       "the claim did not get into the log in time; this request sent nothing",
                       ranOfUnsent(waiting.request), at.now + ClaimTimeout};
    }
    if (waiting.isRead || waiting.nonce.sequence == 0) {
        enqueueClaim(waiting);
    }
    return std::nullopt;
}

std::vector<ClaimDecision> ClaimLedger::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

bool ClaimLedger::idle() const
{
    const bool settledWaits = std::any_of(m_queue.begin(), m_queue.end(), isSettled);
    return m_permitted.empty() && m_batchState == BatchState::None && !settledWaits;
}

bool ClaimLedger::needsRead() const
{
    return !ready() || m_batchState == BatchState::InDoubt || !m_waiting.empty();
}

} // namespace vanilladyke
