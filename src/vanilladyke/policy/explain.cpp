#include "vanilladyke/policy/explain.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace vanilladyke {

namespace {

std::string milliseconds(Duration span)
{
    std::array<char, 32> text{};
    const double value = std::chrono::duration<double, std::milli>(span).count();
    std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

std::string costText(double cost)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.4f", cost);
    return text.data();
}

std::string evidenceOf(const Candidate &candidate)
{
    if (candidate.estimates.empty()) {
        return toString(Evidence::None);
    }
    return toString(candidate.estimates.front().evidence);
}

std::vector<Candidate> cheapestFirst(const Placement &placement)
{
    std::vector<Candidate> sorted = placement.candidates;
    std::sort(sorted.begin(), sorted.end(),
              [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    return sorted;
}

std::string_view reasonText(const std::string &reason)
{
    if (reason == "near_tie") {
        return "several candidates cost about the same; one was selected at random, so that nodes "
               "with the same load report do not all select the same engine";
    }
    if (reason == "stays") {
        return "it has most of the prefix cached, and the saving at another engine is too small";
    }
    if (reason == "in_time") {
        return "a cheaper candidate is unlikely to have a free slot before the deadline";
    }
    return "its predicted cost is the least";
}

std::string row(const Fleet &fleet, const Candidate &candidate)
{
    std::array<char, 256> line{};
    std::snprintf(line.data(), line.size(), "%-16s %-12s %8u %10s %12s %12.0f %10s\n",
                  fleet.engines[candidate.engine].id.str().c_str(), evidenceOf(candidate).c_str(),
                  candidate.expectedCachedTokens, milliseconds(candidate.wait).c_str(),
                  milliseconds(candidate.prefill).c_str(), candidate.recomputedTokens,
                  costText(candidate.cost).c_str());
    return line.data();
}

} // namespace

std::vector<ExplainField> explainFields(std::uint32_t promptTokens, const Fleet &fleet,
                                        const Placement &placement)
{
    std::vector<ExplainField> fields{{"prompt_tokens", std::to_string(promptTokens)},
                                     {"candidates", std::to_string(placement.candidates.size())},
                                     {"reason", placement.reason}};
    if (!placement.winner) {
        return fields;
    }
    const Candidate &winner = *placement.winner;
    fields.push_back({"engine", fleet.engines[winner.engine].id.str()});
    fields.push_back({"cost", costText(winner.cost)});
    fields.push_back({"evidence", evidenceOf(winner)});
    fields.push_back({"expected_cached_tokens", std::to_string(winner.expectedCachedTokens)});
    fields.push_back({"predicted_wait", milliseconds(winner.wait)});
    fields.push_back({"predicted_slot_wait", milliseconds(winner.slotWait)});
    fields.push_back({"predicted_prefill", milliseconds(winner.prefill)});
    for (const Candidate &candidate : cheapestFirst(placement)) {
        if (candidate.engine != winner.engine) {
            fields.push_back({"next_engine", fleet.engines[candidate.engine].id.str()});
            fields.push_back({"next_cost", costText(candidate.cost)});
            break;
        }
    }
    return fields;
}

std::string explainText(std::uint32_t promptTokens, const Fleet &fleet, const Placement &placement)
{
    if (!placement.winner) {
        return "no engine available for the request: none serves the model, or all are excluded\n";
    }
    std::string text = "prompt of " + std::to_string(promptTokens) + " tokens, "
                       + std::to_string(placement.candidates.size()) + " candidates\n";
    text += "engine           evidence       cached    wait_ms   prefill_ms   recomputed       "
            "cost\n";
    for (const Candidate &candidate : cheapestFirst(placement)) {
        text += row(fleet, candidate);
    }
    text += fleet.engines[placement.winner->engine].id.str() + " (" + placement.reason + "): ";
    text += reasonText(placement.reason);
    return text + "\n";
}

} // namespace vanilladyke
