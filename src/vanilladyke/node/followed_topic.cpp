#include "vanilladyke/node/followed_topic.hpp"

namespace vanilladyke {

void FollowedTopic::answered(const std::optional<RecordRelay::Updates> &updates,
                             TimePoint requestedAt)
{
    // A pending own call, or one that was answered after the request, covers the topic already.
    if (!updates && !isReading && provedAt < requestedAt) {
        mustRead = true;
    }
}

} // namespace vanilladyke
