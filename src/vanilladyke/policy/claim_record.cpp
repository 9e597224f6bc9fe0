#include "vanilladyke/policy/claim_record.hpp"

namespace vanilladyke {

namespace {

bool isValidName(const std::string &name)
{
    return !name.empty() && name.size() <= MostNameBytes;
}

bool hasValidFields(const Claim &claim)
{
    return isValidName(claim.node.str()) && isValidName(claim.request.str());
}

bool hasValidFields(const ClaimRelease & /*release*/)
{
    return true;
}

bool hasValidFields(const ClaimOutcome &outcome)
{
    return outcome.body.size() <= MostAnswerBytes && outcome.contentType.size() <= MostNameBytes
           && outcome.status <= MostStatus;
}

} // namespace

bool isWellFormed(const ClaimRecord &record)
{
    const ClaimKey &key = keyOf(record);
    const ClaimNonce &nonce = nonceOf(record);
    return isValidName(key.customer.str()) && isValidName(key.service.str())
           && isValidName(nonce.process.str()) && nonce.sequence != 0
           && std::visit([](const auto &each) { return hasValidFields(each); }, record);
}

} // namespace vanilladyke
