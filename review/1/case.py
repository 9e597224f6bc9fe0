"""New weights are named twice while nodes are stopped and started in turn."""

import json
import os
import re
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import common  # noqa: E402: the path is set above

LEASE_SECONDS = 3.0     # bounds.leaseMs
LOAD_SECONDS = 0.43     # new weights take an engine 0.43 s on the sheet of Hinokuni
GAP_SECONDS = 1.3       # roll_term, gap_s
REST_SECONDS = 9.0      # until nodes count as gone that have been silent, and orders as over
ENGINES, NODES, ROUNDS = 4, 7, 3


def orders(case):
    return sorted(((at, engine.name, order) for engine in case.engines for at, order in list(engine.orders)),
                  key=lambda each: each[0])


def claimant(case):
    """Who has the lease by the last record of its log; none after a release."""
    record = json.loads(case.store.topics["vanilladyke.lease"][-1])
    return None if record["release"] else record["holder"].split("@")[0]


def rank(node):
    """The node's place in the order in which nodes stand by for the lease, as it last wrote."""
    return int(re.findall(r"event=rollout .* rank=(\d+)", node.log_text())[-1])


def restart(case, node):
    """As the platform does: a process that has ended is started again."""
    node.signal(signal.SIGTERM)
    node.popen.wait()
    case.note(f"{node.name} has ended with {node.popen.returncode} and is started again")
    node.start(first=False)


def roll(case, version):
    """Stops and starts three nodes in turn; two versions are named meanwhile."""
    by_rank = sorted(case.nodes, key=rank)
    threads, begin, stopped = [], time.monotonic(), []

    def at(seconds):
        time.sleep(max(0.0, begin + seconds - time.monotonic()))

    def next_in_turn(node):
        stopped.append(node)
        if common.TROUBLE:
            threads.append(threading.Thread(target=restart, args=(case, node)))
            threads[-1].start()

    def holder():
        """The node that has the lease, or is the next to take it."""
        name = claimant(case)
        left = [node for node in by_rank if node not in stopped]
        return next((node for node in left if node.name == name), left[0])

    next_in_turn(by_rank[2])
    at(0.5)
    case.name_weights(version)
    at(GAP_SECONDS)
    next_in_turn(holder())
    at(GAP_SECONDS + 0.7)
    case.name_weights(version + 1)
    at(2 * GAP_SECONDS)
    next_in_turn(holder())
    for each in threads:
        each.join()
    case.wait(lambda: all(e.version == version + 1 for e in case.engines if e.service == "llm"), "the weights are in place", 40)
    case.wait(lambda: all(node.is_ready() for node in case.nodes), "all nodes are ready")
    time.sleep(REST_SECONDS)


def play(case):
    for i in range(ENGINES):
        case.engine(f"llm-{i}", load_seconds=LOAD_SECONDS)
    case.engine("app-0", service="app")
    case.publish()
    case.start_nodes(NODES)
    case.name_weights(2)
    case.wait(lambda: all(e.version == 2 for e in case.engines if e.service == "llm"), "version 2 is in place")
    time.sleep(REST_SECONDS)
    for number in range(ROUNDS):
        roll(case, 3 + 2 * number)

    broken, last = 0, {}
    for when, engine, order in orders(case):
        case.note(f"order at {when - case.began:.3f} to {engine} by {order['holder']} fence {order['fence']} "
                  f"version {order['version']}")
        before = last.get(engine)
        if before and before[1]["holder"] != order["holder"] and when - before[0] < LEASE_SECONDS:
            broken += 1
            case.note(f"ONE: {engine} got orders of {before[1]['holder']} and, {when - before[0]:.3f} s later, of "
                      f"{order['holder']}")
        last[engine] = (when, order)
    return common.BROKEN if broken else common.HELD


sys.exit(common.run("review/1", play))
