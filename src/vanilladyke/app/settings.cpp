#include "vanilladyke/app/settings.hpp"

#include "vanilladyke/model/json_reader.hpp"
#include "vanilladyke/peers/peer_transport.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace vanilladyke {

namespace {

void checkLogLevel(JsonReader &reader, std::string *level)
{
    reader.text("log_level", level, false);
    if (*level != "debug" && *level != "info" && *level != "warning" && *level != "error") {
        reader.fail("log_level", "must be debug, info, warning or error");
    }
}

constexpr std::size_t StreamKeyDigits = 64;

void checkStreamKey(JsonReader &reader, std::string *key)
{
    reader.text("stream_key", key, false);
    const bool digits = key->find_first_not_of("0123456789abcdef") == std::string::npos;
    if (!key->empty() && (key->size() != StreamKeyDigits || !digits)) {
        reader.failSecret("stream_key", "must be 64 lower-case hexadecimal digits");
    }
}

void readTls(JsonReader &reader, TlsFiles *files)
{
    reader.allowOnly({"certificate", "private_key"});
    reader.text("certificate", &files->certificate);
    reader.text("private_key", &files->privateKey);
}

void readPeerKey(JsonReader &reader, const std::string &key, std::string *out, bool required)
{
    reader.text(key, out, required);
    if (!out->empty() && !isPeerKey(*out)) {
        reader.fail(key, "must be a key of 40 characters as `keys new` writes it");
    }
}

PeerSettings readPeers(JsonReader &reader)
{
    reader.allowOnly({"listen", "seeds", "public_key", "secret_key_file", "former_public_key"});
    PeerSettings peers;
    reader.endpoint("listen", &peers.listen);
    reader.endpoints("seeds", &peers.seeds);
    readPeerKey(reader, "public_key", &peers.publicKey, true);
    reader.text("secret_key_file", &peers.secretKeyFile);
    readPeerKey(reader, "former_public_key", &peers.formerPublicKey, false);
    return peers;
}

PlatformSettings readPlatform(JsonReader &reader)
{
    reader.allowOnly({"log", "hosts", "log_retention_ms"});
    PlatformSettings platform;
    reader.endpoint("log", &platform.log);
    if (reader.has("hosts")) {
        reader.endpoint("hosts", &platform.hosts.emplace());
    }
    reader.milliseconds("log_retention_ms", &platform.logRetention, std::chrono::seconds(1),
                        std::chrono::hours(24 * 365));
    return platform;
}

void readSigners(JsonReader &reader, TrustedSigners *trusted)
{
    std::vector<std::string> keys;
    reader.texts("trusted_signers", &keys);
    for (const std::string &text : keys) {
        if (const auto key = parseVerifyKey(text)) {
            trusted->keys.insert(*key);
        } else {
            reader.fail("trusted_signers",
                        "holds " + text + ", which is not a public key from `keys new`");
        }
    }
    std::uint64_t needed = trusted->needed;
    reader.integer("signatures_needed", &needed, 1, 100);
    trusted->needed = needed;
    if (reader.has("platform") && trusted->keys.size() < needed) {
        reader.fail("trusted_signers", "must name at least signatures_needed signers");
    }
}

OperatorKey readOperator(JsonReader &reader)
{
    reader.allowOnly({"id", "digest"});
    OperatorKey key;
    reader.text("id", &key.id);
    reader.text("digest", &key.digest);
    return key;
}

} // namespace

Outcome<HostSettings, std::vector<FieldError>> parseSettings(std::string_view text)
{
    std::vector<FieldError> errors;
    const nlohmann::json object = parseJsonObject(text, &errors);
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    HostSettings settings;
    JsonReader reader(object, "", &errors);
    reader.allowOnly({"node", "data_centre", "callers", "callers_tls", "backends_tls", "operators",
                      "peers", "log_level", "platform", "trusted_signers", "signatures_needed",
                      "operator_keys", "stream_key", "balancer_lag_ms"});
    reader.id("node", &settings.node);
    reader.id("data_centre", &settings.dataCentre);
    reader.endpoint("callers", &settings.callers);
    reader.object("callers_tls", [&](JsonReader &in) { readTls(in, &settings.callersTls); });
    reader.object("backends_tls", [&](JsonReader &in) {
        in.allowOnly({"authority"});
        in.text("authority", &settings.backendsTls.authorityFile);
    });
    reader.endpoint("operators", &settings.operators);
    reader.object("peers", [&](JsonReader &in) { settings.peers = readPeers(in); });
    checkLogLevel(reader, &settings.logLevel);
    reader.object("platform", [&](JsonReader &in) { settings.platform = readPlatform(in); });
    readSigners(reader, &settings.trusted);
    reader.objects("operator_keys",
                   [&](JsonReader &in) { settings.operatorKeys.push_back(readOperator(in)); });
    checkStreamKey(reader, &settings.streamKey);
    reader.milliseconds("balancer_lag_ms", &settings.balancerLag, std::chrono::milliseconds(0),
                        std::chrono::minutes(10));
    if (!errors.empty()) {
        return failure(std::move(errors));
    }
    return settings;
}

Outcome<std::string, FieldError> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::ostringstream content;
    if (!in || !(content << in.rdbuf())) {
        return failure(FieldError{"", path, std::strerror(errno)});
    }
    return content.str();
}

} // namespace vanilladyke
