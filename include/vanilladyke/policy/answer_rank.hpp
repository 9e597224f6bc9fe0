#pragma once

/// Decides whether a server's answer ends a request for which another server is still being asked.
///
/// Load pattern: a slow server's request is also sent to a second server, which lacks what the
/// request names, or has just lost it, and says so at once. If any answer but a failure ended the
/// request, the caller would get that error in place of the slow server's answer. Pure.
namespace vanilladyke {

/// @brief How much an answer is worth beside that of another server, from best to worst.
enum class AnswerRank {
    Final,       ///< no other server's answer would be better
    Provisional, ///< another server may answer with success; else this is the answer
    Failed,      ///< the server failed; a further server may be asked
};

/// @brief The rank of an answer with HTTP status @p status. Errors that concern the request itself
/// are final, since every server would answer with them.
[[nodiscard]] AnswerRank rankOf(int status);

} // namespace vanilladyke
