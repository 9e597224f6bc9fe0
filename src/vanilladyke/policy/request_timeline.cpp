#include "vanilladyke/policy/request_timeline.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>

namespace vanilladyke {

namespace {

/// Events of a node or a backend server up to this long before a request are listed as context.
constexpr Duration NodeContext = std::chrono::seconds(10);
constexpr Duration BackendContext = std::chrono::seconds(5);

const std::set<std::string> nodeEvents{"start",          "stopping",       "stop",
                                       "reload",         "store_lost",     "store_regained",
                                       "configuration",  "weights_named",  "kept_cache_lost",
                                       "reader_doubted", "fleet_key_known"};

struct OutcomeText
{
    const char *outcome;
    const char *text;
};

constexpr std::array<OutcomeText, 10> OutcomeTexts{{
        {"answered", "The caller received the server's complete answer."},
        {"backend_failed",
         "Every eligible server failed the request; the caller received the last failure."},
        {"no_backend",
         "No server of the service was available to this node; the request did not run."},
        {"retry_budget_spent",
         "Servers refused the request and the retry budget was exhausted; it did not run."},
        {"too_late", "The deadline passed before a server could start; the request did not run."},
        {"outcome_unknown",
         "The request was sent and no complete answer was received: nobody knows whether it ran. "
         "An attempt with timed_out=true reached its deadline; others lost their connection."},
        {"not_ready",
         "The node's freshness proof of its configuration and keys was too old: see proof_age_ms "
         "and store_lost; the request did not run."},
        {"rate_limited",
         "The customer was over its quota, which all nodes share: the line over_quota has the "
         "quota, the level of its account, and how much of the fleet the node had heard from. The "
         "request did not run."},
        {"stream_broken",
         "The stream's server was lost during the stream and no other server resumed it."},
        {"caller_left", "The caller closed its connection before the answer was complete."},
}};

std::optional<WallTime> parseTime(const std::string &text)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    double second = 0;
    constexpr int Parts = 6;
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%lfZ", &year, &month, &day, &hour, &minute,
                    &second)
        != Parts) {
        return std::nullopt;
    }
    const std::chrono::sys_days date =
            std::chrono::year(year) / std::chrono::month(month) / std::chrono::day(day);
    return WallTime(date) + std::chrono::hours(hour) + std::chrono::minutes(minute)
           + std::chrono::duration_cast<WallTime::duration>(std::chrono::duration<double>(second));
}

/// Removes the next key=value pair from the line. @return false if there is none
bool takePair(std::string_view *line, std::string *key, std::string *value)
{
    const std::size_t begin = line->find_first_not_of(' ');
    if (begin == std::string_view::npos) {
        return false;
    }
    line->remove_prefix(begin);
    const std::size_t equals = line->find('=');
    if (equals == std::string_view::npos) {
        return false;
    }
    *key = line->substr(0, equals);
    line->remove_prefix(equals + 1);
    value->clear();
    const bool isQuoted = !line->empty() && line->front() == '"';
    std::size_t at = isQuoted ? 1 : 0;
    for (; at < line->size() && (*line)[at] != (isQuoted ? '"' : ' '); ++at) {
        at += isQuoted && (*line)[at] == '\\' && at + 1 < line->size() ? 1 : 0;
        *value += (*line)[at];
    }
    line->remove_prefix(std::min(line->size(), at + (isQuoted ? 1 : 0)));
    return true;
}

std::string fieldOf(const LogLine &line, const std::string &key)
{
    const auto found = line.fields.find(key);
    return found == line.fields.end() ? std::string() : found->second;
}

} // namespace

std::optional<LogLine> parseLogLine(std::string_view line)
{
    const std::size_t begin = line.find("time=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    LogLine result;
    result.text = line;
    std::string_view rest = line.substr(begin);
    std::string key;
    std::string value;
    while (takePair(&rest, &key, &value)) {
        result.fields[key] = value;
    }
    const auto time = parseTime(fieldOf(result, "time"));
    result.node = fieldOf(result, "node");
    result.event = fieldOf(result, "event");
    if (!time || result.event.empty()) {
        return std::nullopt;
    }
    result.time = *time;
    return result;
}

RequestTimeline buildTimeline(const std::vector<LogLine> &lines, const std::string &id)
{
    RequestTimeline timeline;
    std::set<std::string> nodes;
    std::set<std::string> backends;
    for (const LogLine &line : lines) {
        if (fieldOf(line, "id") == id) {
            timeline.own.push_back(line);
            nodes.insert(line.node);
            backends.insert(fieldOf(line, "backend"));
        }
    }
    const auto byTime = [](const LogLine &a, const LogLine &b) { return a.time < b.time; };
    std::stable_sort(timeline.own.begin(), timeline.own.end(), byTime);
    if (timeline.own.empty()) {
        timeline.verdict = "No line has this request's id: it reached none of the nodes whose logs "
                           "were given.";
        return timeline;
    }
    const WallTime first = timeline.own.front().time;
    const WallTime last = timeline.own.back().time;
    for (const LogLine &line : lines) {
        if (line.time > last || fieldOf(line, "id") == id) {
            continue;
        }
        const bool isOfNode = nodes.contains(line.node) && nodeEvents.contains(line.event)
                              && line.time >= first - NodeContext;
        const bool isOfBackend = line.event.rfind("request", 0) != 0 && line.event != "try_failed"
                                 && backends.contains(fieldOf(line, "backend"))
                                 && line.time >= first - BackendContext;
        if (isOfNode || (isOfBackend && !fieldOf(line, "backend").empty())) {
            timeline.context.push_back(line);
        }
    }
    std::stable_sort(timeline.context.begin(), timeline.context.end(), byTime);
    const std::string outcome = fieldOf(timeline.own.back(), "outcome");
    const auto explanation =
            std::find_if(OutcomeTexts.begin(), OutcomeTexts.end(),
                         [&](const OutcomeText &each) { return outcome == each.outcome; });
    if (explanation != OutcomeTexts.end()) {
        timeline.verdict = explanation->text;
    } else if (outcome.empty()) {
        timeline.verdict =
                "The request's last line is missing: the node ended or its log is incomplete.";
    } else {
        timeline.verdict = "Refused: " + outcome + ".";
    }
    return timeline;
}

} // namespace vanilladyke
