#include "vanilladyke/policy/claim_fold.hpp"

#include <algorithm>

namespace vanilladyke {

void ClaimFold::apply(std::uint64_t offset, const ClaimBatch &batch)
{
    m_next = offset + 1;
    for (const ClaimRecord &record : batch) {
        std::visit([this](const auto &each) { applyRecord(each); }, record);
    }
}

const ClaimEntry *ClaimFold::find(const ClaimKey &key) const
{
    const auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : &found->second;
}

void ClaimFold::skipTo(std::uint64_t offset, WallTime keysFrom)
{
    m_next = offset;
    m_keysFrom = std::max(m_keysFrom, keysFrom);
}

void ClaimFold::applyRecord(const Claim &claim)
{
    const auto [found, fresh] = m_entries.try_emplace(claim.key);
    ClaimEntry &entry = found->second;
    if (fresh) {
        entry.owner = claim.nonce;
        entry.node = claim.node;
        entry.request = claim.request;
        m_byAge.emplace(claim.key.key.time(), claim.key);
        return;
    }
    const auto &released = entry.released;
    // The log may contain a claim twice if an append was repeated after its answer was lost. The
    // second copy must not reactivate a claim that its owner has released.
    const bool isDuplicate =
            std::find(released.begin(), released.end(), claim.nonce) != released.end();
    const bool isFree = entry.stage == ClaimStage::Released && released.size() < MostReleases;
    if (isFree && !isDuplicate && claim.request == entry.request) {
        entry.stage = ClaimStage::Claimed;
        entry.owner = claim.nonce;
        entry.node = claim.node;
    }
}

ClaimEntry *ClaimFold::ownedBy(const ClaimKey &key, const ClaimNonce &nonce)
{
    const auto found = m_entries.find(key);
    const bool owned = found != m_entries.end() && found->second.stage == ClaimStage::Claimed
                       && found->second.owner == nonce;
    return owned ? &found->second : nullptr;
}

void ClaimFold::applyRecord(const ClaimRelease &release)
{
    if (ClaimEntry *entry = ownedBy(release.key, release.nonce)) {
        entry->stage = ClaimStage::Released;
        entry->released.push_back(release.nonce);
    }
}

void ClaimFold::applyRecord(const ClaimOutcome &outcome)
{
    if (ClaimEntry *entry = ownedBy(outcome.key, outcome.nonce)) {
        entry->stage = ClaimStage::Settled;
        entry->outcome = outcome;
        m_answerBytes += outcome.body.size();
        m_withAnswer.emplace(outcome.key.key.time(), outcome.key);
        dropOldAnswers();
    }
}

void ClaimFold::dropOldAnswers()
{
    while (m_answerBytes > MostAnswerBytesKept && !m_withAnswer.empty()) {
        const auto oldest = m_withAnswer.begin();
        const auto found = m_entries.find(oldest->second);
        if (found != m_entries.end() && found->second.outcome) {
            ClaimOutcome &outcome = *found->second.outcome;
            m_answerBytes -= outcome.body.size();
            outcome.body = std::string();
            outcome.kind = OutcomeKind::AnswerTooLarge;
        }
        m_withAnswer.erase(oldest);
    }
}

void ClaimFold::dropBefore(WallTime keyTime)
{
    m_keysFrom = std::max(m_keysFrom, keyTime);
    while (!m_byAge.empty() && m_byAge.begin()->first < keyTime) {
        const auto found = m_entries.find(m_byAge.begin()->second);
        if (found != m_entries.end()) {
            m_answerBytes -= found->second.outcome ? found->second.outcome->body.size() : 0;
            m_entries.erase(found);
        }
        m_byAge.erase(m_byAge.begin());
    }
    m_withAnswer.erase(m_withAnswer.begin(), m_withAnswer.lower_bound(keyTime));
}

KeyAge checkAge(const UuidV7 &key, WallTime now, Duration window)
{
    if (key.time() > now + ClockSkew) {
        return KeyAge::InFuture;
    }
    return key.time() < now - window ? KeyAge::Expired : KeyAge::Valid;
}

WallTime droppableBefore(WallTime now, Duration window)
{
    return now - window - 2 * ClockSkew;
}

WallTime coveredFrom(WallTime appendedAt)
{
    // A key may be dated ClockSkew ahead of the node that accepts it, whose clock may be ClockSkew
    // ahead of the log's.
    return appendedAt + 2 * ClockSkew;
}

} // namespace vanilladyke
