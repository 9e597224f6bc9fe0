#include "vanilladyke/platform/log_client.hpp"

#include "vanilladyke/model/foreign_json.hpp"
#include "vanilladyke/platform/http_call.hpp"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr int Created = 201;
constexpr int Ok = 200;
constexpr int FirstServerError = 500;
constexpr std::uint32_t MaxRecordsPerPage = 512;

/// A proxy may have lost the response to a call that took effect, so a server error does not show
/// whether the append happened; only a rejection by the log itself does.
LogFailure failureOf(const HttpAnswer &answer)
{
    const std::string detail = "status " + std::to_string(answer.status);
    const bool refused = answer.status < FirstServerError || answer.status == ServiceUnavailable;
    return {refused ? LogError::Refused : LogError::Malformed, detail};
}

LogFailure failureOf(const HttpFailure &failure)
{
    return {failure.sent ? LogError::Unanswered : LogError::NotSent, failure.detail};
}

bool decodeBase64(const std::string &text, std::string *out)
{
    out->resize(text.size());
    std::size_t length = 0;
    const int result = sodium_base642bin(reinterpret_cast<unsigned char *>(out->data()),
                                         out->size(), text.data(), text.size(), nullptr, &length,
                                         nullptr, sodium_base64_VARIANT_ORIGINAL);
    out->resize(length);
    return result == 0;
}

} // namespace

std::string_view toString(LogError error)
{
    switch (error) {
    case LogError::NotSent:
        return "not_sent";
    case LogError::Unanswered:
        return "unanswered";
    case LogError::Refused:
        return "refused";
    case LogError::Malformed:
        return "malformed";
    }
    return "malformed";
}

Outcome<LogOffset, LogFailure> parseAppendAnswer(std::string_view body)
{
    try {
        return parseForeignJson(body).at("offset").get<LogOffset>();
    } catch (const nlohmann::json::exception &error) {
        return failure(LogFailure{LogError::Malformed, error.what()});
    }
}

Outcome<LogPage, LogFailure> parseLogPage(std::string_view body)
{
    try {
        const nlohmann::json json = parseForeignJson(body);
        LogPage page;
        page.firstOffset = json.at("first_offset").get<LogOffset>();
        page.nextOffset = json.at("next_offset").get<LogOffset>();
        for (const nlohmann::json &item : json.at("records")) {
            LogRecord record;
            record.offset = item.at("offset").get<LogOffset>();
            record.appendedAt = WallTime(
                    std::chrono::milliseconds(item.at("appended_at_ms").get<std::int64_t>()));
            if (!decodeBase64(item.at("data").get_ref<const std::string &>(), &record.data)) {
                return failure(LogFailure{LogError::Malformed, "a record is no base64"});
            }
            page.records.push_back(std::move(record));
        }
        return page;
    } catch (const nlohmann::json::exception &error) {
        return failure(LogFailure{LogError::Malformed, error.what()});
    }
}

struct LogClient::Private
{
    HttpCaller http;
    std::string records; ///< URL path of the stream's records
    std::uint32_t pageRecords = MaxRecordsPerPage;
};

LogClient::LogClient(const Endpoint &endpoint, std::string stream)
    : m_private(std::make_unique<Private>(
            Private{HttpCaller(endpoint), "/v1/logs/" + std::move(stream) + "/records"}))
{}

LogClient::LogClient(LogClient &&) noexcept = default;
LogClient &LogClient::operator=(LogClient &&) noexcept = default;
LogClient::~LogClient() = default;

void LogClient::cancel()
{
    m_private->http.cancel();
}

Outcome<LogOffset, LogFailure> LogClient::append(std::string_view data, TimePoint deadline)
{
    const auto answer =
            m_private->http.post(m_private->records, data, "application/octet-stream", deadline);
    if (!answer) {
        return failure(failureOf(answer.error()));
    }
    if (answer->status != Created) {
        return failure(failureOf(*answer));
    }
    return parseAppendAnswer(answer->body);
}

Outcome<LogPage, LogFailure> LogClient::read(LogOffset from, TimePoint deadline)
{
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
            longestWait(deadline, MonotonicClock::now()));
    const std::string path = m_private->records + "?from=" + std::to_string(from)
                             + "&limit=" + std::to_string(m_private->pageRecords)
                             + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = m_private->http.get(path, deadline);
    if (!answer && answer.error().isTooLarge) {
        constexpr std::uint32_t Fraction = 8; // the records of the next try are that much fewer
        m_private->pageRecords = std::max(m_private->pageRecords / Fraction, 1U);
    }
    if (!answer) {
        return failure(failureOf(answer.error()));
    }
    if (answer->status != Ok) {
        return failure(failureOf(*answer));
    }
    return parseLogPage(answer->body);
}

} // namespace vanilladyke
