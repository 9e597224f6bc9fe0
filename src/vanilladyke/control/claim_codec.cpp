#include "vanilladyke/control/claim_codec.hpp"

#include "vanilladyke/control/claims.pb.h"

#include <algorithm>

namespace vanilladyke {

namespace {

constexpr std::size_t MostBatchBytes = 4U << 20U;
constexpr std::size_t MostRecords = 4096;

wire::OutcomeKind wireKind(OutcomeKind kind)
{
    switch (kind) {
    case OutcomeKind::Answered:
        return wire::OUTCOME_ANSWERED;
    case OutcomeKind::AnswerTooLarge:
        return wire::OUTCOME_ANSWER_TOO_LARGE;
    case OutcomeKind::Unknown:
        break;
    }
    return wire::OUTCOME_UNKNOWN;
}

/// Kinds added by later versions are read as Unknown: this version can't reproduce their answer.
OutcomeKind kindOf(wire::OutcomeKind kind)
{
    switch (kind) {
    case wire::OUTCOME_ANSWERED:
        return OutcomeKind::Answered;
    case wire::OUTCOME_ANSWER_TOO_LARGE:
        return OutcomeKind::AnswerTooLarge;
    default:
        return OutcomeKind::Unknown;
    }
}

void write(const Claim &claim, wire::ClaimRecord *out)
{
    out->mutable_claim()->set_node(claim.node.str());
    out->mutable_claim()->set_request(claim.request.str());
}

void write(const ClaimRelease & /*release*/, wire::ClaimRecord *out)
{
    out->mutable_release();
}

void write(const ClaimOutcome &outcome, wire::ClaimRecord *out)
{
    out->mutable_outcome()->set_kind(wireKind(outcome.kind));
    out->mutable_outcome()->set_status(outcome.status);
    out->mutable_outcome()->set_content_type(outcome.contentType);
    out->mutable_outcome()->set_body(outcome.body);
}

bool read(const wire::ClaimKey &in, ClaimKey *out)
{
    UuidV7::Bytes bytes{};
    if (in.key().size() != bytes.size()) {
        return false;
    }
    std::copy(in.key().begin(), in.key().end(), bytes.begin());
    const auto key = UuidV7::fromBytes(bytes);
    if (!key) {
        return false;
    }
    *out = {CustomerId(in.customer()), ServiceId(in.service()), *key};
    return true;
}

Outcome<ClaimRecord, std::string> read(const wire::ClaimRecord &in)
{
    ClaimKey key;
    if (!read(in.key(), &key)) {
        return failure(
                std::string("malformed key in a record: not 16 bytes or not a UUID of version 7"));
    }
    const ClaimNonce nonce{ProcessId(in.nonce().process()), in.nonce().sequence()};
    if (in.has_claim()) {
        return Claim{key, nonce, NodeId(in.claim().node()), RequestDigest(in.claim().request())};
    }
    if (in.has_release()) {
        return ClaimRelease{key, nonce};
    }
    if (!in.has_outcome()) {
        return failure(std::string("a record holds no claim, release or outcome"));
    }
    const wire::Outcome &outcome = in.outcome();
    return ClaimOutcome{
            key,           nonce, kindOf(outcome.kind()), outcome.status(), outcome.content_type(),
            outcome.body()};
}

} // namespace

std::string encodeClaims(const ClaimBatch &batch)
{
    wire::ClaimBatch out;
    for (const ClaimRecord &record : batch) {
        wire::ClaimRecord *each = out.add_records();
        const ClaimKey &key = keyOf(record);
        const UuidV7::Bytes &bytes = key.key.bytes();
        each->mutable_key()->set_customer(key.customer.str());
        each->mutable_key()->set_service(key.service.str());
        each->mutable_key()->set_key(bytes.data(), bytes.size());
        each->mutable_nonce()->set_process(nonceOf(record).process.str());
        each->mutable_nonce()->set_sequence(nonceOf(record).sequence);
        std::visit([each](const auto &body) { write(body, each); }, record);
    }
    return out.SerializeAsString();
}

Outcome<ClaimBatch, std::string> decodeClaims(std::string_view bytes)
{
    if (bytes.size() > MostBatchBytes) {
        return failure(std::string("batch exceeds the size limit"));
    }
    wire::ClaimBatch in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return failure(std::string("not a valid protobuf ClaimBatch"));
    }
    if (static_cast<std::size_t>(in.records_size()) > MostRecords) {
        return failure(std::string("batch exceeds the limit on records"));
    }
    ClaimBatch batch;
    for (const wire::ClaimRecord &each : in.records()) {
        auto record = read(each);
        if (!record) {
            return failure(std::move(record.error()));
        }
        if (!isWellFormed(*record)) {
            return failure(
                    std::string("a name, nonce or answer in a record is empty or too large"));
        }
        batch.push_back(std::move(*record));
    }
    return batch;
}

} // namespace vanilladyke
