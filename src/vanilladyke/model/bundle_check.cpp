#include "vanilladyke/model/bundle_check.hpp"

#include "vanilladyke/model/signing.hpp"

#include <algorithm>
#include <set>

namespace vanilladyke {

namespace {

std::string item(const std::string &list, std::size_t index, const std::string &field)
{
    return list + "[" + std::to_string(index) + "]." + field;
}

template <typename Item>
void checkIds(const std::vector<Item> &items, const std::string &list,
              std::vector<FieldError> *errors)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string &id = items[i].id.str();
        if (!seen.insert(id).second) {
            errors->push_back({item(list, i, "id"), id, "stands twice"});
        }
    }
}

/// Two customers with one key would be served and charged as the first of them.
void checkKeys(const Bundle &bundle, std::vector<FieldError> *errors)
{
    constexpr std::size_t DigestDigits = 64;
    std::set<std::string> seen;
    for (std::size_t i = 0; i < bundle.customers.size(); ++i) {
        for (const std::string &digest : bundle.customers[i].keyDigests) {
            const std::string field = item("customers", i, "key_digests");
            const bool hex = digest.size() == DigestDigits
                             && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!hex) {
                errors->push_back({field, digest, "is no digest of 64 hexadecimal digits"});
            } else if (!seen.insert(digest).second) {
                errors->push_back({field, digest, "stands twice"});
            }
        }
    }
}

void checkEngines(const Bundle &bundle, std::vector<FieldError> *errors)
{
    std::set<Endpoint> endpoints;
    for (std::size_t i = 0; i < bundle.engines.size(); ++i) {
        const EngineEntry &engine = bundle.engines[i];
        if (!endpoints.insert(engine.endpoint).second) {
            errors->push_back({item("engines", i, "endpoint"), engine.endpoint.str(),
                               "is another engine's too"});
        }
        for (const ModelId &model : engine.models) {
            const bool known = std::any_of(bundle.models.begin(), bundle.models.end(),
                                           [&](const Model &each) { return each.id == model; });
            if (!known) {
                errors->push_back({item("engines", i, "models"), model.str(),
                                   "names a model that the bundle does not hold"});
            }
        }
    }
}

void checkServices(const Bundle &bundle, std::vector<FieldError> *errors)
{
    for (std::size_t i = 0; i < bundle.services.size(); ++i) {
        if (bundle.services[i].backends.empty()) {
            errors->push_back({item("services", i, "backends"), "", "must name a backend server"});
        }
    }
}

} // namespace

std::vector<FieldError> checkBundle(std::string_view text)
{
    const auto bundle = parseBundle(text);
    if (!bundle) {
        return bundle.error();
    }
    std::vector<FieldError> errors;
    checkIds(bundle->customers, "customers", &errors);
    checkIds(bundle->models, "models", &errors);
    checkIds(bundle->engines, "engines", &errors);
    checkIds(bundle->services, "services", &errors);
    checkKeys(*bundle, &errors);
    checkEngines(*bundle, &errors);
    checkServices(*bundle, &errors);
    return errors;
}

std::vector<FieldError> checkSuccessor(std::string_view text, std::string_view previous)
{
    std::vector<FieldError> errors;
    const auto bundle = parseBundle(text);
    const auto before = parseBundle(previous);
    if (!bundle || !before) {
        return errors;
    }
    const std::string digest = digestOf(previous);
    if (bundle->parentDigest != digest) {
        errors.push_back({"parent", bundle->parentDigest, "must be " + digest});
    }
    if (bundle->version <= before->version) {
        errors.push_back({"version", std::to_string(bundle->version),
                          "must be above " + std::to_string(before->version)});
    }
    return errors;
}

} // namespace vanilladyke
