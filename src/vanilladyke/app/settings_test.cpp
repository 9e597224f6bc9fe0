#include "vanilladyke/app/settings.hpp"

#include "vanilladyke/model/json_reader.hpp"

#include <gtest/gtest.h>

namespace vanilladyke {
namespace {

TEST(Settings, ReadsJsonWithComments)
{
    const auto settings = parseSettings(R"({
        // the host's name
        "node": "n1", "data_centre": "yaba-hall",
        "callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081"
    })");
    ASSERT_TRUE(settings.has_value());
    EXPECT_EQ(settings->node, NodeId("n1"));
    EXPECT_EQ(settings->callers, (Endpoint{"127.0.0.1", 8080}));
}

TEST(Settings, ReportsAllErrorsWithFieldValueAndReason)
{
    const auto settings = parseSettings(R"({
        "node": 7, "data_centre": "yaba-hall", "callers": "localhost:80", "colour": "red",
        "log_level": "loud"
    })");
    ASSERT_FALSE(settings.has_value());
    std::vector<std::string> fields;
    for (const FieldError &error : settings.error()) {
        fields.push_back(error.field);
    }
    EXPECT_EQ(fields,
              (std::vector<std::string>{"colour", "node", "callers", "operators", "log_level"}));
    EXPECT_EQ(settings.error()[1].value, "7");
    EXPECT_EQ(settings.error()[1].reason, "must be a string");
}

// Guards against leaking a mistyped stream key: errors appear in terminals and tickets, whose
// readers could forge event ids with the key.
TEST(Settings, OmitsAnInvalidStreamKeyFromItsError)
{
    const auto settings = parseSettings(R"({
        "node": "n1", "data_centre": "yaba-hall", "callers": "127.0.0.1:8080",
        "operators": "127.0.0.1:8081", "stream_key": "5e5e5e"
    })");
    ASSERT_FALSE(settings.has_value());
    ASSERT_EQ(settings.error().size(), 1U);
    EXPECT_EQ(settings.error()[0].field, "stream_key");
    EXPECT_EQ(describe("host.jsonc", settings.error()).find("5e5e"), std::string::npos);
}

} // namespace
} // namespace vanilladyke
