#pragma once

#include "vanilladyke/model/bundle_json.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <initializer_list>

/// Reads typed values out of JSON and collects every error with its field, value and reason.
namespace vanilladyke {

/// @brief A cursor on one JSON object; errors of all cursors of a file go to one list.
class JsonReader
{
public:
    JsonReader(const nlohmann::json &object, std::string path, std::vector<FieldError> *errors);

    /// @brief Refuses every field that is not among @p known.
    void allowOnly(std::initializer_list<std::string_view> known);
    [[nodiscard]] bool has(const std::string &key) const;

    void text(const std::string &key, std::string *out, bool required = true);
    void number(const std::string &key, double *out, double least, double most);
    void integer(const std::string &key, std::uint64_t *out, std::uint64_t least,
                 std::uint64_t most);
    void boolean(const std::string &key, bool *out);
    /// @brief A span; the field holds milliseconds.
    void milliseconds(const std::string &key, Duration *out, Duration least, Duration most);
    /// @brief "host:port" with host an IP number.
    void endpoint(const std::string &key, Endpoint *out, bool required = true);
    void texts(const std::string &key, std::vector<std::string> *out);
    void endpoints(const std::string &key, std::vector<Endpoint> *out);
    void object(const std::string &key, const std::function<void(JsonReader &)> &read);
    void objects(const std::string &key, const std::function<void(JsonReader &)> &read);

    template <typename Tag>
    void id(const std::string &key, NamedId<Tag> *out, bool required = true)
    {
        std::string value;
        text(key, &value, required);
        *out = NamedId<Tag>(std::move(value));
    }

    template <typename Id>
    void ids(const std::string &key, std::vector<Id> *out)
    {
        std::vector<std::string> values;
        texts(key, &values);
        for (std::string &value : values) {
            out->emplace_back(std::move(value));
        }
    }

    void fail(const std::string &key, const std::string &reason);
    /// @brief The same for a field that holds a secret: the error leaves its value out.
    void failSecret(const std::string &key, const std::string &reason);

private:
    [[nodiscard]] std::string pathOf(const std::string &key) const;
    [[nodiscard]] const nlohmann::json *find(const std::string &key, bool required);

    const nlohmann::json &m_object;
    std::string m_path;
    std::vector<FieldError> *m_errors;
};

/// @brief Parses JSON with comments. @return null and one error if the text is no JSON object
[[nodiscard]] nlohmann::json parseJsonObject(std::string_view text,
                                             std::vector<FieldError> *errors);

/// @brief Reads "127.0.0.1:80" or "[::1]:80". @return false if it is no such endpoint
[[nodiscard]] bool parseEndpoint(std::string_view text, Endpoint *out);

/// @brief The errors as lines "FILE: field: reason (value)", for a person.
[[nodiscard]] std::string describe(const std::string &file, const std::vector<FieldError> &errors);

} // namespace vanilladyke
