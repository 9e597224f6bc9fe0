#pragma once

#include "vanilladyke/base/time.hpp"
#include "vanilladyke/model/work_digest.hpp"

#include <cstdint>
#include <optional>
#include <vector>

/// Selects the parts of prompts to which the ends of engines are attributed.
///
/// Load pattern: one part ends each engine that begins to write an answer on it. The requests with
/// that part differ in all else, and come at any node. Each end also takes the sound requests that
/// run or wait at the engine, whose parts then have ends to their name as well. A part is told from
/// those beside it by these rules:
/// - A whole answer to a request with the part takes back all ends before it. Parts of sound
///   requests are answered all the time; see RequestQuarantine.
/// - Ends count in sequence: the next one has to be of another request, and later by more than
///   CommonCauseSpan or of a request that was sent after the one before. Engines that crash
///   together, or one request that is sent again, count once.
/// - An end is attributed to one part only. Parts without a recent answer come first, then those
///   with most ends: the part that ends engines was there each time, those beside it at some.
namespace vanilladyke {

/// @brief End of an engine while it held a request.
struct EngineTermination
{
    std::uint64_t engine = 0; ///< hash of the engine id, which changes with a restart
    TimePoint at;
    bool hadJustBegun = false; ///< the request was queued there or had started within JustBegun
    std::uint64_t request = 0; ///< hash of the whole request's work
    std::optional<TimePoint> sentAt = {}; ///< of the request to the engine; none if not known
};

/// @brief What is known against one part.
struct SuspectPart
{
    WorkDigest part;
    std::vector<EngineTermination> ends; ///< since its last whole answer, in the order of time
    bool wasAnswered = false;            ///< shortly before the first of them
};

/// @brief A part to which ends of engines are attributed.
struct CulpritPart
{
    WorkDigest part;
    TimePoint lastEnd;
    int ends = 0;    ///< in sequence, of different requests
    int engines = 0; ///< that ended, also together or under one request
};

/// Engines that end within this time of each other may have one cause, such as the loss of a rack.
constexpr Duration CommonCauseSpan = std::chrono::milliseconds(100);
/// Ends in sequence after which a part is withheld.
constexpr int EndsToSuspectPart = 2;
/// The same for a part that was answered shortly before: most likely others beside it end engines.
constexpr int EndsToSuspectAnsweredPart = 4;

/// @brief Ends in sequence among those of engines that are not in @p attributed, which is sorted.
[[nodiscard]] int endsInSequence(const std::vector<EngineTermination> &ends,
                                 const std::vector<std::uint64_t> &attributed);
/// @brief Attributes the ends of engines to as few parts as possible. Deterministic, so that nodes
/// with the same evidence agree.
[[nodiscard]] std::vector<CulpritPart> selectCulprits(std::vector<SuspectPart> suspects);

} // namespace vanilladyke
