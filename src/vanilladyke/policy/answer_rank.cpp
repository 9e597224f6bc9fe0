#include "vanilladyke/policy/answer_rank.hpp"

#include <algorithm>
#include <array>

namespace vanilladyke {

namespace {

/// Client errors that depend on what the server holds or on its load: not found, request timeout,
/// gone, too many requests.
constexpr std::array ServersOwnErrors{404, 408, 410, 429};

} // namespace

AnswerRank rankOf(int status)
{
    if (status >= 500) {
        return AnswerRank::Failed;
    }
    const bool isServersOwn = std::find(ServersOwnErrors.begin(), ServersOwnErrors.end(), status)
                              != ServersOwnErrors.end();
    return isServersOwn ? AnswerRank::Provisional : AnswerRank::Final;
}

} // namespace vanilladyke
