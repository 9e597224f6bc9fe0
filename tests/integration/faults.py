"""The fault matrix: every fault at every step, with real processes behind a fault-injecting proxy.

A cell is one fault at one step. Callers ask for streams or make bookings; once a request has come to
the step, the fault strikes. The judge compares what the callers received with what the stand-ins ran,
and never reads a node's own account. See docs/FAULTS.md.
"""

import argparse
import os
import random
import signal
import subprocess
import sys
import threading
import time

import harness
from fault_cluster import (BOOKING_SECONDS, ENGINES, NODES, STREAM_SECONDS, TOKENS, BookingCaller, Cluster,
                           StreamCaller)

CALLERS = 4
COUNTS = ("requests", "whole", "refused", "unknown", "broken", "doubled", "false_refusals", "stale")
FORBIDDEN = ("broken", "doubled", "false_refusals", "stale")


def engine_fault(**kinds):
    def strike(cell):
        busy = {run["engine"] for run in cell.cluster.engine_runs() if run["state"] == "running"}
        for name in sorted(busy)[:2] or [ENGINES[0]]:
            port = cell.cluster.engines[name]
            # An engine that crashed a moment ago takes no orders until it is back.
            harness.wait_until(lambda port=port: harness.faults(port, **kinds) is None, name + " takes orders")
    return strike


def backend_fault(engine, service):
    """Strikes whichever backend server the cell's requests go to."""
    def strike(cell):
        if cell.kind != "stream":
            service(cell)
        if cell.kind != "booking":
            engine(cell)
    return strike


def service_away(cell):
    cell.cluster.break_links("booking", refuse=True)
    cell.later(0.5, lambda: cell.cluster.break_links("booking", refuse=False))
    cell.cluster.break_links("booking", cut_answer_at=0)
    cell.later(0.5, lambda: cell.cluster.break_links("booking", cut_answer_at=None))


def log_fault(**kinds):
    def strike(cell):
        cell.cluster.log.faults(**kinds)
        if kinds.get("outage"):
            cell.later(1.5, lambda: cell.cluster.log.faults(outage="none"))
    return strike


def silent(cell):
    for kind in ("booking", "e", "log-"):
        cell.cluster.break_links(kind, freeze=True)


def connections_cut(cell):
    """Every connection of the cell, its callers' included, breaks off for a moment."""
    for kind in ("booking", "e", "log-", "caller-"):
        cell.cluster.break_links(kind, cut_answer_at=0)
        cell.later(0.3, lambda kind=kind: cell.cluster.break_links(kind, cut_answer_at=None))


def log_duplicated(cell):
    """The log gets every request twice, on two connections."""
    cell.cluster.break_links("log-", duplicate=True)


def next_node(cell):
    """The node that a fault takes next, so that the same fault twice takes two."""
    cell.victims += 1
    return NODES[(cell.victims - 1) % 2]


ROWS = {
    "none": lambda cell: None,
    "engine_crash": backend_fault(engine_fault(crash=True, down_ms=300), service_away),
    "engine_freeze": backend_fault(engine_fault(freeze_ms=2500),
                                   lambda cell: cell.cluster.booking.faults(slow_ms=3500)),
    "engine_slow": backend_fault(engine_fault(slow=4.0), lambda cell: cell.cluster.booking.faults(slow_ms=300)),
    "engine_crossed": backend_fault(engine_fault(cross=1, stray=1),
                                    lambda cell: cell.cluster.booking.faults(lose_answers=1)),
    "event_gap": engine_fault(drop_events=5),
    "node_kill": lambda cell: cell.cluster.stop_node(next_node(cell), signal.SIGKILL),
    "node_pause": lambda cell: cell.cluster.pause_node(next_node(cell), 1.5),
    "node_stop": lambda cell: cell.cluster.stop_node(next_node(cell), signal.SIGTERM),
    "log_down": log_fault(outage="unavailable"),
    "log_slow": log_fault(slow_ms=300),
    "log_answer_lost": log_fault(lose_answers=2),
    "host_list_lag": None,
    "log_duplicated": log_duplicated,
    "connections_cut": connections_cut,
    "silent_connection": silent,
}
# A fault that no router can hold out against: the service itself gets every call twice.
JUDGE_CHECK = "judge_check"
PAIRS = [(name, name) for name in ("engine_crash", "node_kill", "node_pause", "silent_connection")] + [
    ("node_kill", "log_down"), ("node_pause", "log_answer_lost"), ("engine_crash", "node_stop"),
    ("silent_connection", "node_kill"), ("log_slow", "engine_slow"), ("event_gap", "engine_crash"),
    ("log_down", "log_answer_lost"), ("log_duplicated", "log_answer_lost"), ("connections_cut", "node_kill"), ("engine_crossed", "node_pause"), ("engine_freeze", "node_stop")]
ROWS.update({"+".join(pair): pair for pair in PAIRS})
ROWS[JUDGE_CHECK] = lambda cell: cell.cluster.break_links("booking", duplicate=True)


def more_connections(link):
    """True once the link has carried a connection that was opened after now."""
    def prepare(cell):
        count = lambda: sum(state["connections"] for name, state in cell.cluster.proxy_state().items()
                            if name.startswith(link))
        before = count()
        return lambda: count() > before
    return prepare


def received(tokens):
    return lambda cell: lambda: any(len(each.tokens) >= tokens for each in cell.requests)


def grown(value):
    def prepare(cell):
        before = value(cell.cluster)
        return lambda: value(cell.cluster) > before
    return prepare


def claims(cluster):
    return cluster.log.state()["streams"].get("claims", 0)


def bytes_to_log(cluster):
    return sum(state["bytes_to"] for name, state in cluster.proxy_state().items() if name.startswith("log-"))


# What the requests are, how the step is held open, and how one sees that it has been reached.
COLUMNS = {
    "connect": ("stream", None, None),
    "send_request": ("stream", None, more_connections("e")),
    "first_token": ("stream", None, received(1)),
    "mid_stream": ("stream", None, received(TOKENS // 2)),
    "end_marker": ("stream", None, received(TOKENS - 2)),
    "claim_append": ("booking", lambda cluster: cluster.log.faults(slow_ms=100), grown(bytes_to_log)),
    "claim_read": ("booking", None, grown(claims)),
    "service_send": ("booking", None, more_connections("booking")),
    "service_answer": ("booking", lambda cluster: cluster.booking.faults(slow_ms=150),
                       grown(lambda cluster: cluster.booking.started())),
    "outcome_append": ("booking", None, grown(lambda cluster: len(cluster.booking.runs()))),
    "publish": None,
    "order": None,
    "peer_snapshot": None,
    "drain": ("both", lambda cluster: cluster.booking.faults(slow_ms=150), received(3)),
}


class Cell:
    """One fault at one step."""

    def __init__(self, cluster, row, column, seed):
        self.cluster, self.row, self.column = cluster, row, column
        self.random = random.Random(f"{seed}/{row}/{column}")
        self.kind, self.hold, self.reached = COLUMNS[column]
        self.victims, self.timers, self.requests = 0, [], []

    def later(self, seconds, action):
        timer = threading.Timer(seconds, action)
        timer.start()
        self.timers.append(timer)

    def callers(self):
        order = list(NODES)
        for i in range(CALLERS):
            nodes = order[i % 3:] + order[:i % 3]
            word = f"{self.row} {self.column} {i} {self.random.random()}"
            if self.kind == "booking" or (self.kind == "both" and i % 2):
                yield BookingCaller(self.cluster, nodes, word, self.random.random())
            else:
                yield StreamCaller(self.cluster, nodes, word)

    def strike(self):
        if self.column == "drain":
            self.cluster.stop_node(NODES[2], signal.SIGTERM)
        fault = ROWS[self.row]
        for each in ([ROWS[name] for name in fault] if isinstance(fault, tuple) else [fault]):
            each(self)

    def run(self):
        if self.hold:
            self.hold(self.cluster)
        self.requests = list(self.callers())
        reached = self.reached(self) if self.reached else None
        if not reached or self.row == JUDGE_CHECK:
            self.strike()
        for each in self.requests:
            each.start()
        if reached and self.row != JUDGE_CHECK:
            end = time.monotonic() + 3.0
            while not reached() and time.monotonic() < end:
                time.sleep(0.002)
            self.strike()
        for each in self.requests:
            each.join(STREAM_SECONDS + BOOKING_SECONDS)
        for timer in self.timers:
            timer.join()
        return self.judge()

    def judge(self):
        counts = dict.fromkeys(COUNTS, 0)
        faults = []
        ran = {}
        for run in self.cluster.booking.runs():
            ran.setdefault(run["key"], []).append(run)
        engines = self.cluster.engine_runs()
        weights = {model["id"]: model["weights"] for model in self.cluster.bundle["models"]}
        for each in self.requests:
            counts["requests"] += 1
            verdict = each.verdict or "broken"
            if each.kind == "booking":
                times = len(ran.get(each.key, []))
                booked = verdict == "whole" and each.answer["key"] != each.key
                counts["doubled"] += times > 1
                counts["false_refusals"] += verdict == "refused" and times > 0
                verdict = "broken" if booked or (verdict == "whole" and times == 0) else verdict
            else:
                mine = {request for request, error in each.refusals if error["ran"] == "no"}
                counts["false_refusals"] += any(run.get("request") in mine for run in engines)
            counts[verdict] += 1
            if verdict == "broken" or counts["doubled"] or counts["false_refusals"]:
                faults.append(f"{each.kind} {verdict} {each.detail}")
        for name in self.cluster.badly_stopped():
            counts["broken"] += 1
            faults.append(f"{name} did not end its planned stop with 0")
        counts["stale"] = sum(run.get("weights", weights["copy"]) not in weights.values() for run in engines)
        return counts, faults


def line_of(row, column, counts):
    return f"fault={row} step={column} " + " ".join(f"{name}={counts[name]}" for name in COUNTS)


def selection(arguments):
    cells = [(row, column) for row in ROWS for column in COLUMNS if row != JUDGE_CHECK
             if arguments.row in (None, row) and arguments.column in (None, column)]
    if arguments.quick:
        possible = [cell for cell in cells if ROWS[cell[0]] and COLUMNS[cell[1]]]
        chooser = random.Random(arguments.seed)
        cells = []
        # Every row and every column at least once, and no more than that.
        for column in dict.fromkeys(cell[1] for cell in possible):
            cells.append(chooser.choice([cell for cell in possible if cell[1] == column]))
        missing = [row for row in dict.fromkeys(cell[0] for cell in possible) if row not in {r for r, _ in cells}]
        cells += [chooser.choice([cell for cell in possible if cell[0] == row]) for row in missing]
    return cells


def judge_sees(cluster, seed):
    """Whether the judge notices calls that run twice; one that does not would pass anything."""
    counts, _ = Cell(cluster, JUDGE_CHECK, "service_send", seed).run()
    cluster.heal()
    print(line_of(JUDGE_CHECK, "service_send", counts), flush=True)
    return counts["doubled"] > 0


def run_matrix(arguments):
    total, not_run, wrong = dict.fromkeys(COUNTS, 0), 0, 0
    cluster = Cluster(os.path.abspath(arguments.build))
    try:
        if not judge_sees(cluster, arguments.seed):
            print("the judge does not see calls that run twice", flush=True)
            return 1
        for row, column in selection(arguments):
            if not ROWS[row] or not COLUMNS[column]:
                not_run += 1
                print(f"fault={row} step={column} not_run", flush=True)
                continue
            counts, faults = Cell(cluster, row, column, arguments.seed).run()
            for name in COUNTS:
                total[name] += counts[name]
            print(line_of(row, column, counts), flush=True)
            if any(counts[name] for name in FORBIDDEN):
                wrong += 1
                for fault in faults:
                    print("  " + fault, flush=True)
                if arguments.keep_logs:
                    subprocess.run(["cp", "-r", cluster.folder.name, arguments.keep_logs], check=False)
            cluster.heal()
    finally:
        cluster.close()
    print(line_of("total", "total", total) + f" not_run={not_run} seed={arguments.seed}", flush=True)
    return 1 if wrong else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--row", help="one fault, such as node_kill or node_kill+log_down")
    parser.add_argument("--column", help="one step, such as mid_stream")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="a selection that meets every row and column")
    parser.add_argument("--keep-logs", help="copy the processes' logs there when a cell is wrong")
    arguments = parser.parse_args()
    for name, known in (("row", ROWS), ("column", COLUMNS)):
        value = getattr(arguments, name)
        if value is not None and value not in known:
            parser.error(f"no such {name}; there are: {', '.join(known)}")
    return run_matrix(arguments)


if __name__ == "__main__":
    sys.exit(main())
