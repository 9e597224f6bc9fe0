#include "vanilladyke/gateway/service_filters.hpp"

#include <charconv>

namespace vanilladyke {

namespace {

constexpr std::string_view PathPrefix = "/services/";

} // namespace

FilterVerdict FindService::operator()(RequestContext &context) const
{
    const std::string_view rest = std::string_view(context.path).substr(PathPrefix.size());
    const std::size_t end = std::min(rest.find('/'), rest.find('?'));
    const ServiceId id{std::string(rest.substr(0, end))};
    const Service *service = findService(*context.fleet->bundle, id);
    if (service == nullptr) {
        return Refusal{RefusalReason::UnknownService, "no such service: " + id.str(), Ran::No, {}};
    }
    context.call.service = *service;
    const std::string_view path = end == std::string_view::npos ? "" : rest.substr(end);
    context.call.path = path.starts_with('/') ? std::string(path) : "/" + std::string(path);
    return std::nullopt;
}

FilterVerdict SetServiceDeadline::operator()(RequestContext &context) const
{
    const Limits &limits = context.fleet->bundle->limits;
    if (context.body.size() > limits.bodyBytes) {
        return Refusal{RefusalReason::TooLarge, "the body is too large", Ran::No, {}};
    }
    auto deadline = deadlineOf(context, limits.serviceDeadline);
    if (!deadline) {
        return deadline.error();
    }
    context.call.deadline = *deadline;
    return std::nullopt;
}

FilterVerdict CheckIdempotencyKey::operator()(RequestContext &context) const
{
    if (context.call.service.repeatable) {
        return std::nullopt;
    }
    const auto key = parseUuidV7(context.call.idempotencyKey);
    if (!key) {
        return Refusal{RefusalReason::KeyMissing,
                       "calls of this service need an Idempotency-Key that is a UUID of version 7",
                       Ran::No,
                       {}};
    }
    context.call.key = {context.customer, context.call.service.id, *key};
    return std::nullopt;
}

RequestDigest requestDigest(const RequestContext &context)
{
    return RequestDigest(
            keyDigest(context.call.method + " " + context.call.path + "\n" + context.body));
}

} // namespace vanilladyke
