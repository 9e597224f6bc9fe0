#include "vanilladyke/policy/peer_backlog.hpp"

namespace vanilladyke {

namespace {

/// A smaller remainder counts as empty, which keeps the shares far from the limits of a double.
constexpr double MinShare = 1e-6;

} // namespace

PeerBacklog::Report PeerBacklog::add(const PrefillBacklog &work, TimePoint now)
{
    drain(now);
    Report report{work, {}};
    for (int urgency = 0; urgency < PrefillBacklog::Urgencies; ++urgency) {
        const auto index = static_cast<std::size_t>(urgency);
        Level &level = m_levels.at(index);
        level.left += work.of(urgency).count();
        report.marks.at(index) = {level.share, level.emptied};
    }
    return report;
}

void PeerBacklog::remove(const Report &report, TimePoint now)
{
    drain(now);
    for (int urgency = 0; urgency < PrefillBacklog::Urgencies; ++urgency) {
        const auto index = static_cast<std::size_t>(urgency);
        Level &level = m_levels.at(index);
        const Report::Mark &mark = report.marks.at(index);
        if (mark.emptied == level.emptied) {
            const double left = report.work.of(urgency).count() * level.share / mark.share;
            level.left = std::max(0.0, level.left - left);
        }
    }
}

Millis PeerBacklog::ahead(int urgency, TimePoint now) const
{
    double sum = 0;
    const int last = std::clamp(urgency, 0, PrefillBacklog::Urgencies - 1);
    for (int each = 0; each <= last; ++each) {
        sum += m_levels.at(static_cast<std::size_t>(each)).left;
    }
    const Millis passed = now - m_at;
    return std::max(Millis::zero(), Millis(sum) - std::max(Millis::zero(), passed));
}

void PeerBacklog::drain(TimePoint now)
{
    double millis = Millis(now - m_at).count();
    if (millis <= 0) {
        return;
    }
    m_at = now;
    for (Level &level : m_levels) {
        const double taken = std::min(level.left, millis);
        drain(&level, taken);
        millis -= taken;
    }
}

void PeerBacklog::drain(Level *level, double millis)
{
    if (level->left <= 0) {
        return;
    }
    const double left = level->left - millis;
    level->share *= left / level->left;
    level->left = left;
    if (left <= 0 || level->share < MinShare) {
        level->share = 1;
        ++level->emptied;
    }
}

} // namespace vanilladyke
