#include "vanilladyke/peers/codec.hpp"

#include "vanilladyke/peers/peers.pb.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace vanilladyke {

namespace {

template <typename... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

void write(const Endpoint &endpoint, wire::Endpoint *out)
{
    out->set_host(endpoint.host);
    out->set_port(endpoint.port);
}

void write(const Member &member, wire::Member *out)
{
    out->set_node(member.node.str());
    out->set_data_centre(member.dataCentre.str());
    write(member.peers, out->mutable_peers());
    write(member.operators, out->mutable_operators());
    out->set_incarnation(static_cast<std::uint64_t>(member.incarnation));
    out->set_revision(member.revision);
    out->set_phase(static_cast<wire::Phase>(member.phase));
    out->set_liveness(static_cast<wire::Liveness>(member.liveness));
    out->set_bundle_version(member.bundleVersion);
}

void write(const SnapshotPiece &piece, wire::SnapshotPiece *out)
{
    out->set_section(static_cast<wire::SnapshotSection>(piece.section));
    out->set_cursor(piece.cursor);
    out->set_next_cursor(piece.nextCursor);
    for (const std::string &item : piece.items) {
        out->add_items(item);
    }
}

void write(const NodeLoad &load, wire::PeerMessage &out)
{
    for (const ModelId &model : load.waiting) {
        out.add_waiting_models(model.str());
    }
    for (const CustomerDemand &each : load.demand) {
        wire::CustomerDemand *demand = out.add_demand();
        demand->set_customer(each.customer.str());
        demand->set_tokens_per_second(each.tokensPerSecond);
    }
}

void writeBody(const PeerMessage &message, wire::PeerMessage &out)
{
    std::visit(
            Overloaded{
                    [&](const Ping &ping) { out.mutable_ping()->set_sequence(ping.sequence); },
                    [&](const Ack &ack) { out.mutable_ack()->set_sequence(ack.sequence); },
                    [&](const PingRequest &request) {
                        out.mutable_ping_request()->set_sequence(request.sequence);
                        write(request.target, out.mutable_ping_request()->mutable_target());
                    },
                    [&](const SnapshotRequest &request) {
                        out.mutable_snapshot_request()->set_section(
                                static_cast<wire::SnapshotSection>(request.section));
                        out.mutable_snapshot_request()->set_cursor(request.cursor);
                    },
                    [&](const SnapshotPiece &piece) { write(piece, out.mutable_snapshot_piece()); },
            },
            message.body);
}

bool read(const wire::Endpoint &in, Endpoint *out)
{
    if (in.port() > std::numeric_limits<std::uint16_t>::max()) {
        return false;
    }
    *out = {in.host(), static_cast<std::uint16_t>(in.port())};
    return true;
}

bool read(const wire::Member &in, Member *out)
{
    out->node = NodeId(in.node());
    out->dataCentre = DataCentreId(in.data_centre());
    out->incarnation = Incarnation{in.incarnation()};
    out->revision = in.revision();
    out->bundleVersion = in.bundle_version();
    if (!wire::Phase_IsValid(in.phase()) || !wire::Liveness_IsValid(in.liveness())) {
        return false;
    }
    out->phase = static_cast<Phase>(in.phase());
    out->liveness = static_cast<Liveness>(in.liveness());
    return !in.node().empty() && read(in.peers(), &out->peers)
           && read(in.operators(), &out->operators);
}

bool read(const wire::PeerMessage &in, NodeLoad *out)
{
    for (const std::string &model : in.waiting_models()) {
        out->waiting.emplace_back(model);
    }
    for (const wire::CustomerDemand &demand : in.demand()) {
        const double rate = demand.tokens_per_second();
        if (!std::isfinite(rate) || rate < 0) {
            return false;
        }
        out->demand.push_back({CustomerId(demand.customer()), rate});
    }
    return true;
}

bool readBody(const wire::PeerMessage &in, PeerMessage *out)
{
    switch (in.body_case()) {
    case wire::PeerMessage::kPing:
        out->body = Ping{in.ping().sequence()};
        return true;
    case wire::PeerMessage::kAck:
        out->body = Ack{in.ack().sequence()};
        return true;
    case wire::PeerMessage::kPingRequest: {
        PingRequest request{in.ping_request().sequence(), {}};
        const bool valid = read(in.ping_request().target(), &request.target);
        out->body = std::move(request);
        return valid;
    }
    case wire::PeerMessage::kSnapshotRequest:
        out->body = SnapshotRequest{
                static_cast<SnapshotSection>(in.snapshot_request().section()),
                in.snapshot_request().cursor(),
        };
        return wire::SnapshotSection_IsValid(in.snapshot_request().section());
    case wire::PeerMessage::kSnapshotPiece: {
        const wire::SnapshotPiece &piece = in.snapshot_piece();
        out->body = SnapshotPiece{
                static_cast<SnapshotSection>(piece.section()),
                piece.cursor(),
                piece.next_cursor(),
                {piece.items().begin(), piece.items().end()},
        };
        return wire::SnapshotSection_IsValid(piece.section());
    }
    case wire::PeerMessage::BODY_NOT_SET:
        return false;
    }
    return false;
}

} // namespace

std::string encode(const PeerMessage &message)
{
    wire::PeerMessage out;
    write(message.from, out.mutable_from());
    for (const Member &member : message.updates) {
        write(member, out.add_news());
    }
    for (const EngineId &engine : message.leavingEngines) {
        out.add_leaving_engines(engine.str());
    }
    write(message.load, out);
    writeBody(message, out);
    return out.SerializeAsString();
}

Outcome<PeerMessage, DecodeError> decode(std::string_view bytes)
{
    if (bytes.size() > MaxMessageBytes) {
        return failure(DecodeError{"message exceeds the size limit"});
    }
    wire::PeerMessage in;
    // protobuf logs parse errors itself, in lines that are not key=value pairs.
    const google::protobuf::LogSilencer silencer;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return failure(DecodeError{"not a valid protobuf peer message"});
    }
    PeerMessage message;
    if (!read(in.from(), &message.from)) {
        return failure(DecodeError{"sender is malformed"});
    }
    for (const wire::Member &member : in.news()) {
        if (!read(member, &message.updates.emplace_back())) {
            return failure(DecodeError{"membership update is malformed"});
        }
    }
    for (const std::string &engine : in.leaving_engines()) {
        message.leavingEngines.emplace_back(engine);
    }
    if (!read(in, &message.load)) {
        return failure(DecodeError{"load is malformed"});
    }
    if (!readBody(in, &message)) {
        return failure(DecodeError{"body is missing or malformed"});
    }
    return message;
}

std::string encode(const CacheEntry &entry)
{
    wire::CacheEntry out;
    out.set_engine(static_cast<std::uint64_t>(entry.engine));
    out.set_incarnation(static_cast<std::uint64_t>(entry.incarnation));
    out.set_hash_high(entry.hash.high);
    out.set_hash_low(entry.hash.low);
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(entry.age).count();
    out.set_age_milliseconds(static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max())));
    return out.SerializeAsString();
}

Outcome<CacheEntry, DecodeError> decodeCacheEntry(std::string_view bytes)
{
    wire::CacheEntry in;
    const google::protobuf::LogSilencer silencer;
    if (bytes.size() > MaxMessageBytes
        || !in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return failure(DecodeError{"not a valid cache entry"});
    }
    return CacheEntry{EngineKey{in.engine()},
                      Incarnation{in.incarnation()},
                      {in.hash_high(), in.hash_low()},
                      std::chrono::milliseconds(in.age_milliseconds())};
}

} // namespace vanilladyke
