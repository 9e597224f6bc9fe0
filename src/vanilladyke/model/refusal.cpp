#include "vanilladyke/model/refusal.hpp"

#include <array>

namespace vanilladyke {

namespace {

struct ReasonRow
{
    RefusalReason reason;
    std::string_view name;
    int status;
};

constexpr std::array ReasonTable{
        ReasonRow{RefusalReason::UnknownCustomer, "unknown_customer", 401},
        ReasonRow{RefusalReason::BadRequest, "bad_request", 400},
        ReasonRow{RefusalReason::TooLarge, "too_large", 413},
        ReasonRow{RefusalReason::UnknownModel, "unknown_model", 404},
        ReasonRow{RefusalReason::UnknownService, "unknown_service", 404},
        ReasonRow{RefusalReason::NotReady, "not_ready", 503},
        ReasonRow{RefusalReason::RateLimited, "rate_limited", 429},
        ReasonRow{RefusalReason::QueueFull, "queue_full", 503},
        ReasonRow{RefusalReason::TooLate, "too_late", 503},
        ReasonRow{RefusalReason::NoBackend, "no_backend", 503},
        ReasonRow{RefusalReason::BackendFailed, "backend_failed", 502},
        ReasonRow{RefusalReason::RetryBudgetSpent, "retry_budget_spent", 503},
        ReasonRow{RefusalReason::LogUnavailable, "log_unavailable", 503},
        ReasonRow{RefusalReason::KeyMissing, "key_missing", 400},
        ReasonRow{RefusalReason::KeyExpired, "key_expired", 409},
        ReasonRow{RefusalReason::KeyReused, "key_reused", 409},
        ReasonRow{RefusalReason::OutcomeUnknown, "outcome_unknown", 504},
        ReasonRow{RefusalReason::ShuttingDown, "shutting_down", 503},
        ReasonRow{RefusalReason::EndsEngines, "ends_engines", 503},
        ReasonRow{RefusalReason::UnknownOrigin, "unknown_origin", 503},
        ReasonRow{RefusalReason::VersionGone, "version_gone", 503},
};

const ReasonRow &rowOf(RefusalReason reason)
{
    return ReasonTable.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view toString(RefusalReason reason)
{
    return rowOf(reason).name;
}

std::string_view toString(Ran ran)
{
    return ran == Ran::No ? "no" : "unknown";
}

int httpStatus(RefusalReason reason)
{
    return rowOf(reason).status;
}

} // namespace vanilladyke
