"""Orders of new weights: the node that gives them is stopped, and its successor is killed and starts again at once."""

import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import common  # noqa: E402: the path is set above

LEASE_SECONDS = 3.0     # bounds.leaseMs
LOAD_SECONDS = 0.43     # new weights take an engine 0.43 s on the sheet of Hinokuni
RESTART_SECONDS = 0.3   # "restarted after a short delay"
KILL_SECONDS = 0.3      # from the successor's claim to its kill
ENGINES, NODES = 4, 5


def orders(case):
    return sorted(((at, engine.name, order) for engine in case.engines for at, order in list(engine.orders)),
                  key=lambda each: each[0])


def holder_now(case):
    all_orders = orders(case)
    return all_orders[-1][2]["holder"].split("@")[0] if all_orders else None


def claimant(case):
    """Who has the lease by the last record of its log."""
    record = json.loads(case.store.topics["vanilladyke.lease"][-1])
    return None if record["release"] else record["holder"].split("@")[0]


def node_of(case, holder):
    return next(node for node in case.nodes if node.name == holder)


def play(case):
    for i in range(ENGINES):
        case.engine(f"llm-{i}", load_seconds=LOAD_SECONDS)
    case.engine("app-0", service="app")
    case.publish()
    case.start_nodes(NODES)

    case.name_weights(2)
    case.wait(lambda: orders(case), "a first order")
    first = holder_now(case)
    if common.TROUBLE:
        time.sleep(0.1)
        node_of(case, first).signal(signal.SIGTERM)
        case.wait(lambda: claimant(case) not in (None, first), "a successor")
        successor = node_of(case, claimant(case))
        case.note(f"the lease was claimed by {successor.name}")
        time.sleep(KILL_SECONDS)
        successor.signal(signal.SIGKILL)
        successor.popen.wait()
    case.name_weights(3)
    if common.TROUBLE:
        time.sleep(RESTART_SECONDS)
        case.note(f"start of {successor.name}")
        successor.start(first=False)
    case.wait(lambda: all(e.version == 3 for e in case.engines if e.service == "llm"), "all engines have the weights")

    broken = []
    last = {}
    for at, engine, order in orders(case):
        case.note(f"order at {at - case.began:.3f} to {engine} by {order['holder']} fence {order['fence']} "
                  f"version {order['version']}")
        before = last.get(engine)
        if before and before[1]["holder"] != order["holder"] and at - before[0] < LEASE_SECONDS:
            broken.append((engine, before[1]["holder"], order["holder"], at - before[0]))
        if before and order["fence"] <= before[1]["fence"] and before[1]["holder"] != order["holder"]:
            broken.append((engine, before[1]["holder"], order["holder"], at - before[0]))
        last[engine] = (at, order)
    for engine, one, other, gap in broken:
        case.note(f"ONE: {engine} got orders of {one} and, {gap:.3f} s later, of {other}")
    return common.BROKEN if broken else common.HELD


sys.exit(common.run("review/1", play))
