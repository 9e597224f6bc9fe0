#include "vanilladyke/node/read_sharing.hpp"

#include "vanilladyke/node/boot_clock.hpp"

namespace vanilladyke {

bool ReadSharing::isShared(const FollowedTopic &topic, Duration limit) const
{
    const TimePoint now = BootClock::now();
    return ask && topic.isListed && !topic.mustRead && now - topic.provedAt < limit
           && readers.readerToAsk(now);
}

bool ReadSharing::readsForOthers() const
{
    return ask && readers.size() + 1 >= StoreReaderSelection::MinNodes;
}

CallCause ReadSharing::readCause(const FollowedTopic &topic) const
{
    if (!ask) {
        return CallCause::Start;
    }
    if (topic.mustRead) {
        return CallCause::PeerCouldNotTell;
    }
    if (readers.readerToAsk(BootClock::now())) {
        return CallCause::OldProof;
    }
    return readsForOthers() ? CallCause::ForOthers : CallCause::Alone;
}

} // namespace vanilladyke
