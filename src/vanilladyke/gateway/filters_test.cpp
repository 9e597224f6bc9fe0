#include "vanilladyke/gateway/filters.hpp"
#include "vanilladyke/model/foreign_json.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

RequestContext requestWith(std::string body, const std::string &path = "/v1/chat/completions")
{
    auto bundle = std::make_shared<Bundle>();
    bundle->models = {{ModelId("copy"), WeightsVersion("w1"), {}}};
    auto fleet = std::make_shared<Fleet>();
    fleet->bundle = bundle;
    RequestContext context;
    context.path = path;
    context.body = std::move(body);
    context.fleet = fleet;
    return context;
}

std::string messageWith(const std::string &field, const nlohmann::json &value)
{
    nlohmann::json body{{"model", "copy"}, {"messages", {{{"role", "user"}, {"content", "x"}}}}};
    body[field] = value;
    return body.dump();
}

TEST(ParseCompletion, TakesTheFormsOfContentThatClientsSend)
{
    for (const nlohmann::json &content : {nlohmann::json("x"), nlohmann::json(nullptr),
                                          nlohmann::json::array({{{"type", "text"}}})}) {
        RequestContext context =
                requestWith(messageWith("messages", {{{"role", "user"}, {"content", content}}}));
        EXPECT_FALSE(ParseCompletion{}(context).has_value()) << content;
    }
}

// The engine must receive the caller's prompt unchanged, whether fields are inserted into the body
// or the body is serialized again. A prompt that differs by one space misses every cached prefix.
TEST(ParseCompletion, AsksForAStreamAndChangesNothingElse)
{
    for (const std::string extra : {R"()", R"(,"stream":true)", R"(,"stream":false)",
                                    R"(,"stream_options":{"include_usage":false})"}) {
        const std::string text =
                R"( { "model":"copy","messages":[{"role":"user","content":"a {\"\u00e9"}])" + extra
                + "}";
        RequestContext context = requestWith(text);
        ASSERT_FALSE(ParseCompletion{}(context).has_value()) << text;
        nlohmann::json expected = nlohmann::json::parse(text);
        expected["stream"] = true;
        expected["stream_options"]["include_usage"] = true;
        EXPECT_EQ(nlohmann::json::parse(context.engineBody), expected);
    }
}

// A faulty client sends fields of the wrong type or size. They must be refused as bad requests, so
// that the client can see which one is wrong; accepted unchecked, a negative limit would become
// four billion tokens.
TEST(ParseCompletion, RefusesWrongTypesAndSizes)
{
    const std::vector<std::pair<std::string, nlohmann::json>> wrong{
            {"model", 7},
            {"stream", "yes"},
            {"max_tokens", -1},
            {"max_tokens", 1e300},
            {"max_tokens", "many"},
            {"max_tokens", 5'000'000'000},
            {"messages", "hello"},
            {"messages", {{"role", 1}}},
            {"messages", nlohmann::json::array()},
            {"messages", {7, "x"}},
            {"stream_options", 3}};
    for (const auto &[field, value] : wrong) {
        RequestContext context = requestWith(messageWith(field, value));
        const FilterVerdict verdict = ParseCompletion{}(context);
        ASSERT_TRUE(verdict.has_value()) << field << " = " << value;
        EXPECT_EQ(verdict->reason, RefusalReason::BadRequest);
        EXPECT_EQ(verdict->ran, Ran::No);
    }
}

// A body holds a million nested brackets. The JSON library would overflow the stack and crash the
// process with all its streams.
TEST(ParseCompletion, RefusesJsonThatIsNestedTooDeeply)
{
    constexpr std::size_t Depth = 1'000'000;
    const std::string deep = std::string(Depth, '[') + std::string(Depth, ']');
    RequestContext context = requestWith(
            R"({"model":"copy","messages":[{"role":"user","content":"x"}],"user":)" + deep + "}");
    EXPECT_TRUE(ParseCompletion{}(context).has_value());
    EXPECT_EQ(nestingDepth(R"({"a":"[[[\"[[","b":[{}]})"), 3U);
}

RC_GTEST_PROP(ParseCompletion, TakesOrRefusesAnyBytes, (const std::string &bytes, bool chat))
{
    RequestContext context = requestWith(bytes, chat ? "/v1/chat/completions" : "/v1/completions");
    const FilterVerdict verdict = ParseCompletion{}(context);
    RC_ASSERT(verdict.has_value());
    RC_ASSERT(!verdict->detail.empty());
}

} // namespace
} // namespace vanilladyke
