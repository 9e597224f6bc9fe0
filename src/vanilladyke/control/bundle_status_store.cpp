#include "vanilladyke/control/bundle_status_store.hpp"

#include <algorithm>

namespace vanilladyke {

namespace {

/// Number of verdicts kept for waiting publishers; each publisher waits for a few seconds.
constexpr std::size_t MaxNotes = 4096;

} // namespace

BundleStatus BundleStatusStore::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

std::optional<FoldNote> BundleStatusStore::verdict(const std::string &nonce,
                                                   const std::string &digest,
                                                   TimePoint deadline) const
{
    std::unique_lock lock(m_mutex);
    std::optional<FoldNote> found;
    m_changed.wait_until(lock, deadline, [&] {
        found = findVerdict(nonce, digest);
        return found.has_value();
    });
    return found;
}

std::optional<FoldNote> BundleStatusStore::findVerdict(const std::string &nonce,
                                                       const std::string &digest) const
{
    const auto note = std::find_if(m_notes.rbegin(), m_notes.rend(), [&](const FoldNote &each) {
        return each.nonce == nonce && each.verdict != FoldVerdict::Waiting;
    });
    if (note != m_notes.rend()) {
        return *note;
    }
    if (m_status.accepted && m_status.accepted->entry.digest == digest) {
        FoldNote accepted;
        accepted.nonce = nonce;
        accepted.verdict = FoldVerdict::Accepted;
        accepted.version = m_status.accepted->entry.version;
        accepted.acceptedVersion = accepted.version;
        return accepted;
    }
    return std::nullopt;
}

void BundleStatusStore::setStatus(BundleStatus status)
{
    {
        const std::lock_guard lock(m_mutex);
        m_status = std::move(status);
    }
    m_changed.notify_all();
}

void BundleStatusStore::addNote(FoldNote note)
{
    {
        const std::lock_guard lock(m_mutex);
        m_notes.push_back(std::move(note));
        if (m_notes.size() > MaxNotes) {
            m_notes.pop_front();
        }
    }
    m_changed.notify_all();
}

} // namespace vanilladyke
