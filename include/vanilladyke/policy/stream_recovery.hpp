#pragma once

#include "vanilladyke/base/time.hpp"

#include <cstdint>
#include <string_view>

/// What to do when the connection that carries an answer breaks off.
///
/// Load pattern: single connections cut or silent while their engine goes on, and engines that
/// crash with all their streams at once. Resuming costs one round trip; continuing elsewhere costs
/// the prefill of prompt and answer again, so it comes second. Without a limit on attempts that
/// bring nothing, a request that no engine can finish would go round for ever and add load just
/// when engines fail.
namespace vanilladyke {

/// @brief How an attempt ended, as far as it matters here.
enum class AttemptEnd {
    NotConnected, ///< the engine took no connection
    Refused,      ///< the engine doesn't want the call or doesn't know the stream
    Broken,       ///< cut, reset, silent, a gap, or another exchange's answer
};

enum class RecoveryStep {
    Resume,    ///< the same stream on a new connection to the same engine
    Elsewhere, ///< a new stream on another engine, from the prompt and what the caller has
    GiveUp,
};

/// @brief What is known when an attempt has ended.
struct RecoverySituation
{
    AttemptEnd end = AttemptEnd::Broken;
    bool engineLives = false; ///< same incarnation as when the stream began, and heard of lately
    std::uint32_t fruitlessHere = 0; ///< attempts in a row on this engine that brought no frame
    std::uint32_t fruitless = 0;     ///< the same on all engines
    bool canContinue = true;         ///< the whole answer so far is known here
    TimePoint giveUpAt;
};

/// @brief Attempts in a row without a frame before the engine is given up for this stream: one may
/// be bad luck, two speak against the engine.
inline constexpr std::uint32_t FruitlessOnOneEngine = 2;
/// @brief Attempts in a row without a frame before the request is given up. Above the engines that
/// a rack takes down at once.
inline constexpr std::uint32_t FruitlessInAll = 12;

[[nodiscard]] std::string_view toString(RecoveryStep step);

[[nodiscard]] RecoveryStep recover(const RecoverySituation &situation, TimePoint now);

} // namespace vanilladyke
