#include "vanilladyke/gateway/filters.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace vanilladyke {

namespace {

constexpr std::uint32_t DefaultAnswerTokens = 256;
constexpr std::string_view ChatPath = "/v1/chat/completions";

Refusal badRequest(std::string detail)
{
    return {RefusalReason::BadRequest, std::move(detail), Ran::No, std::nullopt};
}

bool callerWantsUsage(const nlohmann::json &body)
{
    const auto options = body.find("stream_options");
    return options != body.end() && options->value("include_usage", false);
}

void readPrompt(const nlohmann::json &body, RequestContext &context)
{
    if (!isChat(context)) {
        context.messages.push_back(body.at("prompt").get<std::string>());
        return;
    }
    for (const auto &message : body.at("messages")) {
        context.messages.push_back(message.at("role").get<std::string>() + "\n"
                                   + message.at("content").get<std::string>());
    }
}

} // namespace

bool isChat(const RequestContext &context)
{
    return context.path == ChatPath;
}

std::string keyDigest(const std::string &key)
{
    std::array<unsigned char, crypto_generichash_BYTES> digest{};
    crypto_generichash(digest.data(), digest.size(),
                       reinterpret_cast<const unsigned char *>(key.data()), key.size(), nullptr, 0);
    std::array<char, 2 * crypto_generichash_BYTES + 1> text{};
    sodium_bin2hex(text.data(), text.size(), digest.data(), digest.size());
    return text.data();
}

FilterVerdict IdentifyCustomer::operator()(RequestContext &context) const
{
    if (!context.fleet->bundle) {
        return Refusal{RefusalReason::NotReady, "no bundle has been accepted yet", Ran::No, {}};
    }
    const std::string digest = keyDigest(context.bearer);
    for (const Customer &customer : context.fleet->bundle->customers) {
        const auto &digests = customer.keyDigests;
        if (std::find(digests.begin(), digests.end(), digest) != digests.end()) {
            context.customer = customer.id;
            context.priority = customer.priority;
            return std::nullopt;
        }
    }
    return Refusal{RefusalReason::UnknownCustomer, "the bearer key names no customer", Ran::No, {}};
}

FilterVerdict ParseCompletion::operator()(RequestContext &context) const
{
    try {
        nlohmann::json body = nlohmann::json::parse(context.body);
        context.model = ModelId(body.at("model").get<std::string>());
        context.streamed = body.value("stream", false);
        context.wantsUsage = !context.streamed || callerWantsUsage(body);
        context.answerTokens = body.value("max_tokens", DefaultAnswerTokens);
        readPrompt(body, context);
        body["stream"] = true;
        body["stream_options"]["include_usage"] = true;
        context.engineBody = body.dump();
    } catch (const nlohmann::json::exception &error) {
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
    context.firstTokenDeadline =
            context.arrivedAt + context.fleet->bundle->limits.firstTokenDeadline;
    if (context.deadlineHeader.empty()) {
        return std::nullopt;
    }
    std::int64_t millis = 0;
    const char *end = context.deadlineHeader.data() + context.deadlineHeader.size();
    const auto parsed = std::from_chars(context.deadlineHeader.data(), end, millis);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return badRequest("X-Request-Deadline must be milliseconds since 1970");
    }
    context.firstTokenDeadline = toMonotonic(WallTime(std::chrono::milliseconds(millis)),
                                             std::chrono::system_clock::now(), context.arrivedAt);
    return std::nullopt;
}

FilterVerdict CutPrefixes::operator()(RequestContext &context) const
{
    const std::vector<std::string_view> messages(context.messages.begin(), context.messages.end());
    context.chain = buildPrefixChain({context.customer, context.model, context.weights}, messages);
    context.promptTokens = context.chain.empty() ? 0 : context.chain.back().tokens;
    return std::nullopt;
}

} // namespace vanilladyke
