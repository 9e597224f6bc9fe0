#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <string_view>

/// Recovery of a stream whose connection breaks while the answer is being received.
///
/// Load pattern: single connections that are cut or stop delivering while their engine continues,
/// and engines that crash with all their streams at once. Resuming costs one round trip. Continuing
/// on another engine costs another prefill of the prompt and the answer so far, so it is the second
/// choice. Without a limit on attempts that deliver nothing, a request that no engine can finish
/// would be retried for ever and add load just when engines fail.
namespace vanilladyke {

/// @brief How an attempt ended.
enum class AttemptEnd {
    NotConnected, ///< no connection to the engine was established
    Refused,      ///< the engine refused the call, or the stream is unknown to it
    Broken,       ///< cut, reset, timed out, a gap, or the answer of another exchange
};

enum class RecoveryStep {
    Resume,      ///< the same stream on a new connection to the same engine
    OtherEngine, ///< a new stream on another engine, from the prompt and the answer so far
    GiveUp,
};

/// @brief The state on which the decision is based, at the end of an attempt.
struct RecoverySituation
{
    AttemptEnd end = AttemptEnd::Broken;
    bool engineIsLive = false; ///< same incarnation as at the start, and seen recently
    /// Attempts in a row on this engine without a frame.
    std::uint32_t attemptsWithoutFrameHere = 0;
    std::uint32_t attemptsWithoutFrame = 0; ///< attempts in a row on any engine without a frame
    bool hasWholeAnswer = true;             ///< this node has the whole answer so far
    TimePoint giveUpAt;
};

/// @brief Attempts in a row without a frame after which the stream moves to another engine: one may
/// be chance, two indicate a fault of the engine.
inline constexpr std::uint32_t MaxAttemptsPerEngine = 2;
/// @brief Attempts in a row without a frame after which the request fails. Greater than the number
/// of engines lost with one rack.
inline constexpr std::uint32_t MaxAttempts = 12;

[[nodiscard]] std::string_view toString(RecoveryStep step);

/// @brief Decides how to go on after an attempt has ended.
[[nodiscard]] RecoveryStep recover(const RecoverySituation &situation, TimePoint now);

} // namespace vanilladyke
