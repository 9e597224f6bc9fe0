#include "vanilladyke/policy/part_evidence.hpp"

#include <algorithm>

namespace vanilladyke {

int endsInSequence(const std::vector<EngineTermination> &ends,
                   const std::vector<std::uint64_t> &attributed)
{
    int count = 0;
    const EngineTermination *last = nullptr;
    for (const EngineTermination &each : ends) {
        if (std::binary_search(attributed.begin(), attributed.end(), each.engine)) {
            continue;
        }
        const TimePoint sentAt = each.sentAt.value_or(each.at);
        const bool isSeparate =
                last == nullptr || sentAt > last->at || each.at - last->at > CommonCauseSpan;
        const bool isNext = last == nullptr || (isSeparate && each.request != last->request);
        if (isNext) {
            ++count;
            last = &each;
        }
    }
    return count;
}

std::vector<CulpritPart> selectCulprits(std::vector<SuspectPart> suspects)
{
    std::sort(suspects.begin(), suspects.end(), [](const SuspectPart &a, const SuspectPart &b) {
        if (a.wasAnswered != b.wasAnswered) {
            return b.wasAnswered;
        }
        return a.ends.size() != b.ends.size() ? a.ends.size() > b.ends.size() : a.part < b.part;
    });
    std::vector<CulpritPart> culprits;
    std::vector<std::uint64_t> attributed;
    for (const SuspectPart &each : suspects) {
        const int needed = each.wasAnswered ? EndsToSuspectAnsweredPart : EndsToSuspectPart;
        const int ends = endsInSequence(each.ends, attributed);
        if (ends < needed) {
            continue;
        }
        culprits.push_back(
                {each.part, each.ends.back().at, ends, static_cast<int>(each.ends.size())});
        for (const EngineTermination &end : each.ends) {
            attributed.push_back(end.engine);
        }
        std::sort(attributed.begin(), attributed.end());
    }
    return culprits;
}

} // namespace vanilladyke
