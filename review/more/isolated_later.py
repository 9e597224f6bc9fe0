"""A new version of the configuration isolates a tenant whose prompts share parts with another tenant's."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import caching  # noqa: E402
import common  # noqa: E402: the path is set above

APPLY_SECONDS = 2.0    # bounds.configApplyMs
CONTACT_SECONDS = 3.0  # bounds.contactMs
PROMPTS = 8


def ask(case, node, identity, key, shared):
    headers = {"X-Vanilladyke-Model": "m", "X-Vanilladyke-Token-Usage": "13640,20",
               "X-Vanilladyke-Prompt-Prefix": f"{shared}:13300,{identity}:340"}
    sent = case.at()
    status = common.call(node, "POST", "/stream/x", identity, key=key, headers=headers)
    case.note(f"request {identity} sent at {sent:.3f} answered {status}")
    if status != 200:
        raise common.CannotRun(f"{identity} is not served")
    return sent


def play(case):
    for i in range(2):
        case.engine(f"llm-{i}", kind=caching.CachingEngine, case=case)
    case.engine("app-0", service="app")
    case.publish()
    case.start_nodes(2)
    for i in range(PROMPTS):
        ask(case, case.nodes[i % 2], f"a{i:07x}", "brand-key", f"5c1e07a{i}")
    if common.TROUBLE:
        case.config["tenants"][0]["isolated"] = True
        case.note("from the next version on the tenant brand is isolated")
    case.publish()
    acknowledged = case.at()
    time.sleep(APPLY_SECONDS + CONTACT_SECONDS)
    for i in range(PROMPTS):
        ask(case, case.nodes[i % 2], f"b{i:07x}", "other-key", f"5c1e07a{i}")

    broken = []
    for engine in case.engines[:2]:
        for at, tenant, part, maker, identity in engine.uses:
            crosses = tenant != maker and "brand" in (tenant, maker) and case.config["tenants"][0]["isolated"]
            if crosses and at > acknowledged + APPLY_SECONDS:
                broken.append(identity)
                case.note(f"WALL: {identity} of {tenant}, {at - acknowledged:.3f} s after the acknowledgement, used part "
                          f"{part} at {engine.name} that a request of {maker} made")
    case.note(f"{len(broken)} of {PROMPTS} requests used what an isolated tenant's request made")
    return common.BROKEN if broken else common.HELD


sys.exit(common.run("review/more", play))
