#!/usr/bin/env python3
"""Measures what open streams cost a node: memory, threads and processor time, with real processes.

Prints one line for each slope, in the form of tools/capacity.sh. Usage: stream_slopes.py --build DIR
"""

import argparse
import json
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "tests", "integration"))
import harness  # noqa: E402

SIZES = [20, 40, 80, 160]
ENGINES = [2, 4, 8, 16]
TOKENS = 4000
OBSERVE_SECONDS = 4.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGESIZE")


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


class Stream:
    """One caller that reads events as they come and counts them."""

    def __init__(self, port, prompt):
        body = json.dumps({"model": "copy", "stream": True, "max_tokens": TOKENS,
                           "messages": [{"role": "user", "content": prompt}]}).encode()
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer brand-key\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        self.events = 0
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.sendall(head + body)
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self):
        try:
            while chunk := self.socket.recv(65536):
                self.events += chunk.count(b"data: ")
        except OSError:
            pass

    def close(self):
        self.socket.close()


def measure(build, size):
    """Resident bytes and processor seconds a second of a node with so many streams, and events a second."""
    cluster = harness.Cluster(build)
    try:
        for i in range(4):
            cluster.engine(f"copy-{i}", "--step-ms", "10", "--slots", "256")
            cluster.bundle["engines"][i]["slots"] = 256
        node = cluster.node("n1")
        pid = node.popen.pid
        before = resident_bytes(pid)
        idle_start = processor_seconds(pid)
        time.sleep(OBSERVE_SECONDS)
        idle = processor_seconds(pid) - idle_start
        streams = [Stream(node.port, f"prompt {i}") for i in range(size)]
        harness.wait_until(lambda: all(stream.events > 0 for stream in streams), "all streams flow")
        events = sum(stream.events for stream in streams)
        spent = processor_seconds(pid)
        time.sleep(OBSERVE_SECONDS)
        events = sum(stream.events for stream in streams) - events
        spent = processor_seconds(pid) - spent
        memory = resident_bytes(pid) - before
        for stream in streams:
            stream.close()
        return {"bytes": memory, "events": events / OBSERVE_SECONDS,
                "idle": idle / OBSERVE_SECONDS, "cpu": spent / OBSERVE_SECONDS}
    finally:
        cluster.close()


def fit(points):
    count = len(points)
    sizes = sum(size for size, _ in points)
    values = sum(value for _, value in points)
    squares = sum(size * size for size, _ in points)
    products = sum(size * value for size, value in points)
    per_unit = (count * products - sizes * values) / (count * squares - sizes * sizes)
    base = (values - per_unit * sizes) / count
    spread = max(abs(value - base - per_unit * size) for size, value in points)
    return base, per_unit, spread / max(abs(value) for _, value in points)


def report(role, cost, unit, points):
    base, per_unit, spread = fit(points)
    samples = ",".join(f"{size:.4g}:{value:.4g}" for size, value in points)
    print(f"slope role={role} cost={cost} per={unit} base={base:.4g} per_unit={per_unit:.4g} "
          f"spread={spread:.4g} samples={samples}", flush=True)


def measure_idle(build, engines):
    """Processor seconds a second that a node without callers spends on watching so many engines."""
    cluster = harness.Cluster(build)
    try:
        for i in range(engines):
            cluster.engine(f"copy-{i}")
        pid = cluster.node("n1").popen.pid
        spent = processor_seconds(pid)
        time.sleep(2 * OBSERVE_SECONDS)
        return (processor_seconds(pid) - spent) / (2 * OBSERVE_SECONDS)
    finally:
        cluster.close()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    build = os.path.abspath(parser.parse_args().build)
    report("polling", "cpu_us_per_s", "engines",
           [(engines, measure_idle(build, engines) * 1e6) for engines in ENGINES])
    results = [(size, measure(build, size)) for size in SIZES]
    report("streams", "bytes", "streams", [(size, result["bytes"]) for size, result in results])
    report("streams", "cpu_us_per_s", "events_per_s",
           [(result["events"], (result["cpu"] - result["idle"]) * 1e6) for _, result in results])


if __name__ == "__main__":
    main()
