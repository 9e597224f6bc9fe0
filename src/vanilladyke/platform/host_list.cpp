#include "vanilladyke/platform/host_list.hpp"

#include "vanilladyke/model/json_reader.hpp"

namespace vanilladyke {

namespace {

constexpr int Ok = 200;

ListedHost readHost(JsonReader &reader)
{
    ListedHost host;
    reader.endpoint("endpoint", &host.endpoint);
    std::string kind;
    reader.text("kind", &kind);
    if (kind != "entry" && kind != "backend") {
        reader.fail("kind", "must be entry or backend");
    }
    host.kind = kind == "entry" ? HostKind::Entry : HostKind::Backend;
    std::string state;
    reader.text("state", &state);
    if (state != "live" && state != "leaving") {
        reader.fail("state", "must be live or leaving");
    }
    host.leaving = state == "leaving";
    return host;
}

} // namespace

Outcome<std::vector<ListedHost>, std::string> parseHostList(std::string_view body)
{
    std::vector<FieldError> errors;
    const nlohmann::json object = parseJsonObject(body, &errors);
    std::vector<ListedHost> hosts;
    if (errors.empty()) {
        JsonReader reader(object, "", &errors);
        if (!reader.has("hosts")) {
            reader.fail("hosts", "is missing");
        }
        reader.objects("hosts", [&](JsonReader &in) { hosts.push_back(readHost(in)); });
    }
    if (!errors.empty()) {
        return failure(describe("host list", errors));
    }
    return hosts;
}

HostListClient::HostListClient(const Endpoint &endpoint)
    : m_http(endpoint)
{}

Outcome<std::vector<ListedHost>, std::string> HostListClient::read(TimePoint deadline)
{
    const auto answer = m_http.get("/v1/hosts", deadline);
    if (!answer) {
        return failure(std::string(answer.error().detail));
    }
    if (answer->status != Ok) {
        return failure("status " + std::to_string(answer->status));
    }
    return parseHostList(answer->body);
}

} // namespace vanilladyke
