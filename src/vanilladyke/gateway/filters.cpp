#include "vanilladyke/gateway/filters.hpp"

#include "vanilladyke/model/signing.hpp"

#include "vanilladyke/gateway/deadline_header.hpp"

#include "vanilladyke/model/customer_index.hpp"
#include "vanilladyke/model/foreign_json.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace vanilladyke {

namespace {

constexpr std::uint32_t DefaultAnswerTokens = 256;
constexpr std::size_t StreamFieldReserve = 16;
constexpr std::uint64_t MaxAnswerTokens = 1'000'000;
constexpr std::string_view ChatPath = "/v1/chat/completions";

Refusal badRequest(std::string detail)
{
    return {RefusalReason::BadRequest, std::move(detail), Ran::No, std::nullopt};
}

bool requestsUsage(const nlohmann::json &body)
{
    const auto options = body.find("stream_options");
    return options != body.end() && options->value("include_usage", false);
}

/// Content is a string, a list of parts, or null in a message that only calls tools.
std::string contentOf(const nlohmann::json &message)
{
    const nlohmann::json &content = message.at("content");
    if (content.is_string()) {
        return content.get<std::string>();
    }
    if (!content.is_array() && !content.is_null()) {
        throw std::invalid_argument("content must be a string or a list of parts");
    }
    return content.dump();
}

void readPrompt(const nlohmann::json &body, RequestContext &context)
{
    if (!isChat(context)) {
        context.messages.push_back(body.at("prompt").get<std::string>());
        return;
    }
    const nlohmann::json &messages = body.at("messages");
    if (!messages.is_array() || messages.empty()) {
        throw std::invalid_argument("messages must be a list with one message at least");
    }
    for (const auto &message : messages) {
        context.messages.push_back(message.at("role").get<std::string>() + "\n"
                                   + contentOf(message));
    }
}

std::uint32_t readAnswerTokens(const nlohmann::json &body)
{
    for (const char *field : {"max_completion_tokens", "max_tokens"}) {
        const auto limit = body.find(field);
        if (limit == body.end() || limit->is_null()) {
            continue;
        }
        if (!limit->is_number_unsigned() || limit->get<std::uint64_t>() > MaxAnswerTokens) {
            throw std::invalid_argument(std::string(field) + " must be a whole number up to "
                                        + std::to_string(MaxAnswerTokens));
        }
        return limit->get<std::uint32_t>();
    }
    return DefaultAnswerTokens;
}

/// The caller's body, changed to request a stream with usage. Fields that are merely missing are
/// inserted at the front of the original text: serializing a long prompt again would cost more than
/// all other processing of the request.
std::string streamedBody(nlohmann::json &body, const std::string &text)
{
    if (body.contains("stream_options")
        || (body.contains("stream") && !body["stream"].get<bool>())) {
        body["stream"] = true;
        body["stream_options"]["include_usage"] = true;
        return body.dump();
    }
    std::string streamed = R"({"stream_options":{"include_usage":true},)";
    streamed.reserve(streamed.size() + text.size() + StreamFieldReserve);
    if (!body.contains("stream")) {
        streamed += R"("stream":true,)";
    }
    return streamed.append(text, text.find('{') + 1);
}

void readCompletion(RequestContext &context)
{
    if (nestingDepth(context.body) > MaxJsonDepth) {
        throw std::invalid_argument("the JSON is nested too deeply");
    }
    nlohmann::json body = parseForeignJson(context.body);
    context.model = ModelId(body.at("model").get<std::string>());
    context.streamed = body.value("stream", false);
    context.wantsUsage = !context.streamed || requestsUsage(body);
    context.answerTokens = readAnswerTokens(body);
    readPrompt(body, context);
    context.engineBody = streamedBody(body, context.body);
}

/// Sets the deadline from the caller's header: milliseconds since 1970 or RFC 3339.
FilterVerdict setDeadline(RequestContext &context, Duration defaultTimeout)
{
    context.firstTokenDeadline = context.arrivedAt + defaultTimeout;
    if (context.deadlineHeader.empty()) {
        return std::nullopt;
    }
    const std::optional<WallTime> wall = parseDeadline(context.deadlineHeader);
    if (!wall) {
        return badRequest(
                "X-Request-Deadline must be RFC 3339 or milliseconds since 1970, within a day");
    }
    context.firstTokenDeadline =
            toMonotonic(*wall, std::chrono::system_clock::now(), context.arrivedAt);
    return std::nullopt;
}

} // namespace

bool isChat(const RequestContext &context)
{
    return context.path == ChatPath;
}

std::string keyDigest(const std::string &key)
{
    return digestOf(key);
}

FilterVerdict IdentifyCustomer::operator()(RequestContext &context) const
{
    if (!context.fleet->bundle || !context.fleet->customers) {
        return Refusal{RefusalReason::NotReady, "no bundle has been accepted yet", Ran::No, {}};
    }
    const Customer *customer = context.fleet->customers->byKeyDigest(keyDigest(context.bearer));
    if (customer == nullptr) {
        return Refusal{
                RefusalReason::UnknownCustomer, "the bearer key names no customer", Ran::No, {}};
    }
    context.customer = customer->id;
    context.priority = customer->priority;
    return std::nullopt;
}

FilterVerdict ParseCompletion::operator()(RequestContext &context) const
{
    try {
        readCompletion(context);
    } catch (const std::exception &error) {
        return badRequest(error.what());
    }
    const Model *model = findModel(*context.fleet->bundle, context.model);
    if (model == nullptr) {
        return Refusal{
                RefusalReason::UnknownModel, "no such model: " + context.model.str(), Ran::No, {}};
    }
    context.weights = model->weights;
    return std::nullopt;
}

FilterVerdict SetDeadline::operator()(RequestContext &context) const
{
    return setDeadline(context, context.fleet->bundle->limits.firstTokenDeadline);
}

FilterVerdict SetServiceDeadline::operator()(RequestContext &context) const
{
    return setDeadline(context, context.fleet->bundle->limits.serviceDeadline);
}

FilterVerdict CutPrefixes::operator()(RequestContext &context) const
{
    const std::vector<std::string_view> messages(context.messages.begin(), context.messages.end());
    context.chain = buildPrefixChain({context.customer, context.model, context.weights}, messages);
    context.promptTokens = context.chain.empty() ? 0 : context.chain.back().tokens;
    return std::nullopt;
}

} // namespace vanilladyke
