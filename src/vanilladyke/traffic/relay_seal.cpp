#include "vanilladyke/traffic/relay_seal.hpp"

namespace vanilladyke {

WorkDigest relaySeal(const WorkDigester &digester, const CallerRequest &request,
                     const std::string &resumeAfter, const RelayTerms &sealed)
{
    // None of these holds a line end, so that different values differ as a whole.
    std::string terms = "relay\n" + request.id + "\n" + request.key.value_or("") + "\n"
                        + resumeAfter + "\n" + std::to_string(sealed.mostServers);
    // Only where it is set: a node of a build that doesn't know it rejects the request then, and
    // takes all others.
    if (sealed.software) {
        terms += "\nsoftware " + std::to_string(*sealed.software);
    }
    return digester.digest({terms, request.method, request.host, request.target, request.body});
}

bool hasValidSeal(const WorkDigester &digester, const CallerRequest &request)
{
    if (!request.relay || !digester.isReady()) {
        return false;
    }
    const auto seal = parseWorkDigest(request.relay->seal);
    return seal && *seal == relaySeal(digester, request, request.lastEventId, *request.relay);
}

} // namespace vanilladyke
