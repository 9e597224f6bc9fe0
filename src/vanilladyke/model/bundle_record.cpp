#include "vanilladyke/model/bundle_record.hpp"

#include "vanilladyke/model/foreign_json.hpp"

#include <stdexcept>

namespace vanilladyke {

namespace {

using nlohmann::json;

/// Thrown and caught inside this file only, as the JSON library's own errors are.
struct WrongField : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

VerifyKey readKey(const json &value)
{
    const auto key = parseVerifyKey(value.get_ref<const std::string &>());
    if (!key) {
        throw WrongField("a signer is no key of 64 hexadecimal digits");
    }
    return *key;
}

json written(const SignedBundle &bundle)
{
    json signatures = json::array();
    for (const Signature &signature : bundle.signatures) {
        signatures.push_back({{"signer", signature.signer.hex()}, {"signature", signature.hex()}});
    }
    return {{"bundle", bundle.text}, {"signatures", std::move(signatures)}};
}

SignedBundle readSigned(const json &object)
{
    SignedBundle bundle;
    bundle.text = object.at("bundle").get<std::string>();
    for (const json &item : object.at("signatures")) {
        const VerifyKey signer = readKey(item.at("signer"));
        const auto signature =
                parseSignature(signer, item.at("signature").get_ref<const std::string &>());
        if (!signature) {
            throw WrongField("a signature is not 128 hexadecimal digits");
        }
        bundle.signatures.push_back(*signature);
    }
    return bundle;
}

json written(const std::vector<HistoryEntry> &history)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    json list = json::array();
    for (const HistoryEntry &entry : history) {
        json signers = json::array();
        for (const VerifyKey &signer : entry.signers) {
            signers.push_back(signer.hex());
        }
        const auto at = duration_cast<milliseconds>(entry.acceptedAt.time_since_epoch());
        list.push_back({{"version", entry.version},
                        {"digest", entry.digest},
                        {"parent", entry.parent},
                        {"signers", std::move(signers)},
                        {"offset", entry.offset},
                        {"accepted_at_ms", at.count()}});
    }
    return list;
}

std::vector<HistoryEntry> readHistory(const json &list)
{
    std::vector<HistoryEntry> history;
    for (const json &item : list) {
        HistoryEntry entry;
        entry.version = item.at("version").get<std::uint64_t>();
        entry.digest = item.at("digest").get<std::string>();
        entry.parent = item.at("parent").get<std::string>();
        for (const json &signer : item.at("signers")) {
            entry.signers.push_back(readKey(signer));
        }
        entry.offset = item.at("offset").get<LogOffset>();
        entry.acceptedAt =
                WallTime(std::chrono::milliseconds(item.at("accepted_at_ms").get<std::int64_t>()));
        history.push_back(std::move(entry));
    }
    return history;
}

CheckpointPart readCheckpoint(const json &object)
{
    CheckpointPart part;
    part.asOf = object.at("as_of").get<LogOffset>();
    part.history = readHistory(object.at("history"));
    if (part.history.empty()) {
        throw WrongField("a checkpoint's history is empty");
    }
    return part;
}

/// Runs a reader and turns what it throws into the failed side of an outcome.
template <typename Read>
auto outcomeOf(Read read) -> Outcome<decltype(read()), std::string>
{
    try {
        return read();
    } catch (const json::exception &error) {
        return failure(std::string(error.what()));
    } catch (const WrongField &error) {
        return failure(std::string(error.what()));
    }
}

} // namespace

std::string writeBundleRecord(const BundleRecord &record)
{
    json object = written(record.bundle);
    object["nonce"] = record.nonce;
    if (record.checkpoint) {
        object["checkpoint"] = {{"as_of", record.checkpoint->asOf},
                                {"history", written(record.checkpoint->history)}};
    }
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Outcome<BundleRecord, std::string> parseBundleRecord(std::string_view data)
{
    if (data.size() > MostRecordBytes) {
        return failure(std::string("larger than a record may be"));
    }
    return outcomeOf([&] {
        const json object = parseForeignJson(data);
        BundleRecord record;
        record.nonce = object.at("nonce").get<std::string>();
        record.bundle = readSigned(object);
        if (object.contains("checkpoint")) {
            record.checkpoint = readCheckpoint(object["checkpoint"]);
        }
        return record;
    });
}

Outcome<BundleHeader, std::string> parseBundleHeader(std::string_view text)
{
    return outcomeOf([&] {
        const json object = parseForeignJson(text, JsonComments::Skipped);
        BundleHeader header;
        const json &version = object.at("version");
        if (!version.is_number_unsigned() || version.get<std::uint64_t>() == 0) {
            throw WrongField("the version is no whole number above 0");
        }
        header.version = version.get<std::uint64_t>();
        header.parent = object.value("parent", "");
        return header;
    });
}

std::string writeSignedBundle(const SignedBundle &bundle)
{
    return written(bundle).dump(2, ' ', false, json::error_handler_t::replace);
}

Outcome<SignedBundle, std::string> parseSignedBundle(std::string_view data)
{
    return outcomeOf([&] { return readSigned(parseForeignJson(data)); });
}

std::string writeHistory(const std::vector<HistoryEntry> &history)
{
    return written(history).dump();
}

Outcome<std::vector<HistoryEntry>, std::string> parseHistory(std::string_view data)
{
    return outcomeOf([&] { return readHistory(parseForeignJson(data)); });
}

} // namespace vanilladyke
