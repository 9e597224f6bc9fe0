#!/usr/bin/env python3
"""Measures how soon a bundle is in force on all nodes, and how soon nodes are ready after a restart.

    tools/timings.py [--build build] [--rounds 20]

Three nodes, one engine stand-in and the platform's stand-in, on loopback. Prints spans in
milliseconds; asserts nothing.
"""

import argparse
import copy
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "integration"))
import harness  # noqa: E402

NODES = 3
POLL_SECONDS = 0.002


def spans(name, values):
    values = sorted(1000 * value for value in values)
    print(f"{name}: rounds={len(values)} median={values[len(values) // 2]:.0f} ms max={values[-1]:.0f} ms")


def wait(condition):
    started = time.monotonic()
    while not condition():
        time.sleep(POLL_SECONDS)
    return time.monotonic() - started


def version(node):
    text = node.log_text()
    marks = [line for line in text.splitlines() if "event=bundle_in_force" in line]
    return int(marks[-1].split("version=")[1].split()[0]) if marks else 0


def in_force(cluster, nodes):
    """From the start of the publish call to the last node's log line."""
    wanted = cluster.bundle["version"] + 1
    bundle = {**copy.deepcopy(cluster.bundle)}
    bundle["version"], bundle["parent"] = wanted, cluster.status(nodes[0])["digest"]
    signed = cluster.sign(bundle)
    started = time.monotonic()
    status, result = cluster.publish(nodes[wanted % NODES], signed)
    assert status == 200, result
    wait(lambda: all(version(node) == wanted for node in nodes))
    cluster.bundle = bundle
    return time.monotonic() - started


def ready(node):
    try:
        return harness.http_call(node.port, "GET", "/readyz")[0] == 200
    except OSError:
        return False


def restarted(cluster, nodes):
    """All nodes killed at once and started at once: until the last one is ready."""
    for node in nodes:
        node.stop(signal.SIGKILL)
    started = time.monotonic()
    nodes[:] = [cluster.restart(node) for node in nodes]
    wait(lambda: all(ready(node) for node in nodes))
    return time.monotonic() - started


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--rounds", type=int, default=20)
    arguments = parser.parse_args()
    cluster = harness.Cluster(os.path.abspath(arguments.build))
    try:
        cluster.engine("copy-1")
        nodes = [cluster.node(f"n{i + 1}") for i in range(NODES)]
        spans("bundle in force on all nodes", [in_force(cluster, nodes) for _ in range(arguments.rounds)])
        spans("all nodes ready after restart", [restarted(cluster, nodes) for _ in range(arguments.rounds)])
    finally:
        cluster.close()


if __name__ == "__main__":
    main()
