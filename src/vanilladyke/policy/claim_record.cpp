#include "vanilladyke/policy/claim_record.hpp"

namespace vanilladyke {

namespace {

bool isName(const std::string &name)
{
    return !name.empty() && name.size() <= MostNameBytes;
}

bool hasGoodBody(const Claim &claim)
{
    return isName(claim.node.str()) && isName(claim.request.str());
}

bool hasGoodBody(const ClaimRelease & /*release*/)
{
    return true;
}

bool hasGoodBody(const ClaimOutcome &outcome)
{
    return outcome.body.size() <= MostAnswerBytes && outcome.contentType.size() <= MostNameBytes
           && outcome.status <= MostStatus;
}

} // namespace

bool isWellFormed(const ClaimRecord &record)
{
    const ClaimKey &key = keyOf(record);
    const ClaimNonce &nonce = nonceOf(record);
    return isName(key.customer.str()) && isName(key.service.str()) && isName(nonce.process.str())
           && nonce.sequence != 0
           && std::visit([](const auto &each) { return hasGoodBody(each); }, record);
}

} // namespace vanilladyke
