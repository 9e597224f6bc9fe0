#include "vanilladyke/model/json_reader.hpp"

#include "vanilladyke/model/foreign_json.hpp"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

namespace vanilladyke {

namespace {

constexpr std::size_t ShownValueBytes = 60;

std::string shorten(std::string text)
{
    if (text.size() > ShownValueBytes) {
        text.resize(ShownValueBytes);
        text += "…";
    }
    return text;
}

std::string shown(const nlohmann::json &value)
{
    return shorten(value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

JsonReader::JsonReader(const nlohmann::json &object, std::string path,
                       std::vector<FieldError> *errors)
    : m_object(object)
    , m_path(std::move(path))
    , m_errors(errors)
{}

void JsonReader::allowOnly(std::initializer_list<std::string_view> known)
{
    for (const auto &[key, value] : m_object.items()) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            m_errors->push_back({pathOf(key), shown(value), "unknown field"});
        }
    }
}

bool JsonReader::has(const std::string &key) const
{
    return m_object.contains(key);
}

void JsonReader::text(const std::string &key, std::string *out, bool required)
{
    const nlohmann::json *value = find(key, required);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        fail(key, "must be a string");
        return;
    }
    *out = value->get<std::string>();
    if (required && out->empty()) {
        fail(key, "must not be empty");
    }
}

void JsonReader::number(const std::string &key, double *out, double least, double most)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number() || value->get<double>() < least || value->get<double>() > most) {
        fail(key, "must be a number from " + nlohmann::json(least).dump() + " to "
                          + nlohmann::json(most).dump());
        return;
    }
    *out = value->get<double>();
}

void JsonReader::integer(const std::string &key, std::uint64_t *out, std::uint64_t least,
                         std::uint64_t most)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < least
        || value->get<std::uint64_t>() > most) {
        fail(key, "must be a whole number from " + std::to_string(least) + " to "
                          + std::to_string(most));
        return;
    }
    *out = value->get<std::uint64_t>();
}

void JsonReader::boolean(const std::string &key, bool *out)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_boolean()) {
        fail(key, "must be true or false");
        return;
    }
    *out = value->get<bool>();
}

void JsonReader::milliseconds(const std::string &key, Duration *out, Duration least, Duration most)
{
    using std::chrono::milliseconds;
    auto count = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(*out).count());
    integer(key, &count,
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(least).count()),
            static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(most).count()));
    *out = milliseconds(count);
}

void JsonReader::endpoint(const std::string &key, Endpoint *out, bool required)
{
    std::string value;
    const std::size_t errorsBefore = m_errors->size();
    text(key, &value, required);
    if (value.empty() || m_errors->size() != errorsBefore) {
        return;
    }
    if (!parseEndpoint(value, out)) {
        fail(key, "must be an IP number and a port, as in 127.0.0.1:8080");
    }
}

void JsonReader::texts(const std::string &key, std::vector<std::string> *out)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    const bool allTexts = value->is_array()
                          && std::all_of(value->begin(), value->end(),
                                         [](const auto &item) { return item.is_string(); });
    if (!allTexts) {
        fail(key, "must be a list of strings");
        return;
    }
    *out = value->get<std::vector<std::string>>();
}

void JsonReader::endpoints(const std::string &key, std::vector<Endpoint> *out)
{
    std::vector<std::string> values;
    texts(key, &values);
    for (const std::string &value : values) {
        Endpoint read;
        if (parseEndpoint(value, &read)) {
            out->push_back(read);
        } else {
            fail(key, "holds " + shorten(value) + ", which is no IP number and port");
        }
    }
}

void JsonReader::object(const std::string &key, const std::function<void(JsonReader &)> &read)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_object()) {
        fail(key, "must be an object");
        return;
    }
    JsonReader reader(*value, pathOf(key), m_errors);
    read(reader);
}

void JsonReader::objects(const std::string &key, const std::function<void(JsonReader &)> &read)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fail(key, "must be a list of objects");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const std::string path = pathOf(key) + "[" + std::to_string(i) + "]";
        if (!(*value)[i].is_object()) {
            m_errors->push_back({path, shown((*value)[i]), "must be an object"});
            continue;
        }
        JsonReader reader((*value)[i], path, m_errors);
        read(reader);
    }
}

void JsonReader::fail(const std::string &key, const std::string &reason)
{
    const auto found = m_object.find(key);
    m_errors->push_back({pathOf(key), found == m_object.end() ? "" : shown(*found), reason});
}

void JsonReader::failSecret(const std::string &key, const std::string &reason)
{
    m_errors->push_back({pathOf(key), "", reason});
}

std::string JsonReader::pathOf(const std::string &key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

const nlohmann::json *JsonReader::find(const std::string &key, bool required)
{
    const auto found = m_object.find(key);
    if (found != m_object.end()) {
        return &*found;
    }
    if (required) {
        fail(key, "is missing");
    }
    return nullptr;
}

nlohmann::json parseJsonObject(std::string_view text, std::vector<FieldError> *errors)
{
    try {
        nlohmann::json parsed = parseForeignJson(text, JsonComments::Skipped);
        if (parsed.is_object()) {
            return parsed;
        }
        errors->push_back({"", shown(parsed), "must be a JSON object"});
    } catch (const nlohmann::json::exception &error) {
        errors->push_back({"", "", error.what()});
    }
    return nullptr;
}

bool parseEndpoint(std::string_view text, Endpoint *out)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::string host(text.substr(0, colon));
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code error;
    // The number is kept as the library writes it, since it takes any bytes for an interface's
    // name.
    host = boost::asio::ip::make_address(host, error).to_string();
    const std::string_view port = text.substr(colon + 1);
    std::uint16_t number = 0;
    const auto parsed = std::from_chars(port.data(), port.data() + port.size(), number);
    if (error || parsed.ec != std::errc() || parsed.ptr != port.data() + port.size()
        || number == 0) {
        return false;
    }
    *out = {std::move(host), number};
    return true;
}

std::string describe(const std::string &file, const std::vector<FieldError> &errors)
{
    std::string lines;
    for (const FieldError &error : errors) {
        lines += file + ": ";
        lines += error.field.empty() ? "" : error.field + ": ";
        lines += error.reason;
        lines += error.value.empty() ? "\n" : " (found " + error.value + ")\n";
    }
    return lines;
}

} // namespace vanilladyke
