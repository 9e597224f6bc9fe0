#include "vanilladyke/model/bundle_check.hpp"

#include "vanilladyke/base/random.hpp"
#include "vanilladyke/model/signing.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace vanilladyke {
namespace {

using nlohmann::json;

/// Every list and object that a bundle may hold, once.
json wholeBundle()
{
    const std::string digest(64, 'a');
    return json{
            {"version", 2},
            {"parent", digest},
            {"objective", {{"recompute_weight", 1}, {"tail_weight", 2.5}}},
            {"limits", {{"first_token_deadline_ms", 3000}, {"loads_at_once", 2}}},
            {"customers",
             {{{"id", "brand"}, {"key_digests", {digest}}, {"weight", 2}, {"priority", "urgent"}}}},
            {"models", {{{"id", "copy"}, {"weights", "w1"}, {"adapters", {"tone"}}}}},
            {"engines",
             {{{"id", "e1"},
               {"endpoint", "127.0.0.1:80"},
               {"data_centre", "yaba-hall"},
               {"models", {"copy"}},
               {"role", "serving"},
               {"fencing", false},
               {"slots", 4}}}},
            {"services",
             {{{"id", "booking"}, {"backends", {"127.0.0.1:81"}}, {"repeatable", false}}}},
            {"kept_cache", "127.0.0.1:82"}};
}

std::vector<std::string> fieldsOf(const std::vector<FieldError> &errors)
{
    std::vector<std::string> fields;
    fields.reserve(errors.size());
    for (const FieldError &error : errors) {
        fields.push_back(error.field);
    }
    return fields;
}

/// Puts @p value in the place of each value of the tree in turn.
void replaceEach(const json &whole, const json &value,
                 const std::function<void(const json &)> &visit)
{
    const json flat = whole.flatten();
    for (const auto &[path, old] : flat.items()) {
        for (json::json_pointer at(path); !at.empty(); at.pop_back()) {
            json changed = whole;
            changed[at] = value;
            visit(changed);
        }
    }
}

TEST(BundleCheck, FindsNothingInAWholeBundle)
{
    EXPECT_TRUE(checkBundle(wholeBundle().dump()).empty());
}

TEST(BundleCheck, FindsIdsThatStandTwiceAndNamesOfNothing)
{
    json bundle = wholeBundle();
    for (const char *list : {"customers", "models", "engines", "services"}) {
        const json copy = bundle[list][0];
        bundle[list].push_back(copy);
    }
    bundle["engines"][0]["models"] = {"draft"};
    EXPECT_EQ(fieldsOf(checkBundle(bundle.dump())),
              (std::vector<std::string>{"customers[1].id", "models[1].id", "engines[1].id",
                                        "services[1].id", "customers[1].key_digests",
                                        "engines[0].models", "engines[1].endpoint"}));
}

TEST(BundleCheck, ASuccessorNamesItsParentAndRises)
{
    const std::string first = wholeBundle().dump();
    json next = wholeBundle();
    EXPECT_EQ(fieldsOf(checkSuccessor(next.dump(), first)),
              (std::vector<std::string>{"parent", "version"}));
    next["parent"] = digestOf(first);
    next["version"] = 3;
    EXPECT_TRUE(checkSuccessor(next.dump(), first).empty());
}

// An operator's tool writes a number where a list belongs, or a name of a megabyte. A node that
// crashed on it would take the publisher's connection with it, and so would the next one.
TEST(BundleCheck, NoWrongTypeOrSizeCrashesIt)
{
    const std::vector<json> odd = {nullptr,
                                   true,
                                   -1,
                                   1e300,
                                   "",
                                   std::string(1U << 18U, 'x'),
                                   "\xff",
                                   json::array(),
                                   json::object(),
                                   {1, 2},
                                   {{"id", "brand"}}};
    for (const json &value : odd) {
        replaceEach(wholeBundle(), value, [](const json &changed) {
            const std::string text = changed.dump(-1, ' ', false, json::error_handler_t::ignore);
            static_cast<void>(checkBundle(text));
            static_cast<void>(checkSuccessor(text, text));
        });
    }
}

TEST(BundleCheck, NoDamagedByteCrashesIt)
{
    const std::string whole = wholeBundle().dump();
    Random random(11);
    for (int i = 0; i < 3000; ++i) {
        std::string damaged = whole;
        damaged[uniformBelow(random, damaged.size())] =
                static_cast<char>(uniformBelow(random, 256));
        damaged.resize(damaged.size() - uniformBelow(random, 2) * uniformBelow(random, 40));
        static_cast<void>(checkBundle(damaged));
    }
    EXPECT_FALSE(checkBundle("").empty());
    EXPECT_FALSE(checkBundle(std::string(1U << 20U, '[')).empty());
}

RC_GTEST_PROP(BundleCheck, RandomBytesAreNoBundle, (const std::string &bytes))
{
    RC_ASSERT(!checkBundle(bytes).empty());
}

} // namespace
} // namespace vanilladyke
