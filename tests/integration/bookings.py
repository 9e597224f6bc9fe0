"""Bookings under chaos, and what claims cost.

    bookings.py soak [--count N] [--rate R] [--seed N]
        bookings at three nodes while nodes are killed and paused, the log goes down, and answers of
        the log and of the service get lost; then the judge compares callers with the service.
    bookings.py measure [--rates 1,10,100,500] [--seconds N]
        appends a second against bookings a second, and the time that a claim adds for callers.
"""

import argparse
import concurrent.futures
import os
import random
import signal
import sys
import threading
import time

import fault_cluster
import harness

PROCESSES = 4
THREADS = 64


def judge(callers, runs):
    """What callers were told against what the service ran."""
    ran = {}
    for run in runs:
        ran[run["key"]] = ran.get(run["key"], 0) + 1
    counts = {"bookings": len(callers), "whole": 0, "refused": 0, "unknown": 0, "untold": 0}
    for each in callers:
        counts[each.verdict or "untold"] += 1
    counts["doubled"] = sum(times > 1 for times in ran.values())
    counts["false_refusals"] = sum(each.verdict == "refused" and each.key in ran for each in callers)
    counts["false_answers"] = sum(each.verdict == "whole"
                                  and (each.key not in ran or each.answer["key"] != each.key) for each in callers)
    return counts


class Chaos(threading.Thread):
    """Breaks one thing after another; at most one node is dead or paused at a time."""

    def __init__(self, cluster, seed):
        super().__init__(daemon=True)
        self.cluster, self.random = cluster, random.Random(seed)
        self.over = threading.Event()
        self.struck = {}

    def run(self):
        actions = [self.kill, self.pause, self.outage, self.lose_log_answers, self.lose_service_answers,
                   self.reset_log, self.silence]
        while not self.over.wait(self.random.uniform(0.2, 1.0)):
            action = self.random.choice(actions)
            self.struck[action.__name__] = self.struck.get(action.__name__, 0) + 1
            action()

    def kill(self):
        name = self.random.choice(fault_cluster.NODES)
        self.cluster.running[name].stop(signal.SIGKILL)
        self.cluster.restart(name)

    def pause(self):
        process = self.cluster.running[self.random.choice(fault_cluster.NODES)]
        process.popen.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.3, 2.0))
        process.popen.send_signal(signal.SIGCONT)

    def outage(self):
        self.cluster.log.faults(outage=self.random.choice(["refuse", "unavailable"]))
        time.sleep(self.random.uniform(0.3, 2.5))
        self.cluster.log.faults(outage="none")

    def lose_log_answers(self):
        self.cluster.log.faults(lose_answers=self.random.randint(1, 5))

    def lose_service_answers(self):
        self.cluster.booking.faults(lose_answers=self.random.randint(1, 3))

    def reset_log(self):
        link = "log-" + self.random.choice(fault_cluster.NODES)
        self.cluster.order("/control/faults", {"link": link, "cut_answer_at": self.random.randint(0, 300)})
        time.sleep(self.random.uniform(0.1, 0.5))
        self.cluster.order("/control/clear", {"link": link})

    def silence(self):
        self.cluster.order("/control/faults", {"link": "log-" + self.random.choice(fault_cluster.NODES), "freeze": True})


def soak(arguments):
    cluster = fault_cluster.Cluster(os.path.abspath(arguments.build))
    chooser = random.Random(arguments.seed)
    chaos = Chaos(cluster, arguments.seed)
    callers = []
    try:
        chaos.start()
        start = time.monotonic()
        for i in range(arguments.count):
            first = chooser.randrange(3)
            nodes = list(fault_cluster.NODES[first:] + fault_cluster.NODES[:first])
            callers.append(fault_cluster.BookingCaller(cluster, nodes, f"panel {i}", chooser.random()))
            time.sleep(max(0.0, start + i / arguments.rate - time.monotonic()))
            callers[-1].start()
        for each in callers:
            each.join(60)
        spent = time.monotonic() - start
        chaos.over.set()
        chaos.join(60)
        counts = judge(callers, cluster.booking.runs())
    finally:
        cluster.close()
    print("struck " + " ".join(f"{name}={times}" for name, times in sorted(chaos.struck.items())))
    print(" ".join(f"{name}={value}" for name, value in counts.items())
          + f" seconds={spent:.0f} seed={arguments.seed}")
    return 1 if counts["doubled"] or counts["false_refusals"] or counts["false_answers"] or counts["untold"] else 0


def drive(ports, service, count, rate):
    """One process's share of the load. Returns the seconds of each call, and why calls failed."""
    def call(i):
        start = time.monotonic()
        status, answer, _ = harness.book(ports[i % len(ports)], f"panel {i}", harness.uuid7(), service=service)
        return time.monotonic() - start, "" if status == 200 else answer["error"]["reason"]
    with concurrent.futures.ThreadPoolExecutor(THREADS) as pool:
        begin = time.monotonic()
        calls = []
        for i in range(count):
            time.sleep(max(0.0, begin + i / rate - time.monotonic()))
            calls.append(pool.submit(call, i))
        results = [each.result() for each in calls]
    return [seconds for seconds, _ in results], [reason for _, reason in results if reason]


def load(ports, service, rate, seconds):
    processes = min(PROCESSES, max(1, rate // 10))
    share = rate / processes
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        begin = time.monotonic()
        parts = [pool.submit(drive, ports, service, max(1, int(share * seconds)), share) for _ in range(processes)]
        results = [part.result() for part in parts]
        spent = time.monotonic() - begin
    times = sorted(second for part, _ in results for second in part)
    return times, [reason for _, failed in results for reason in failed], spent


def percentile(times, part):
    return times[min(len(times) - 1, int(len(times) * part))] * 1000


def measure(arguments):
    cluster = harness.Cluster(os.path.abspath(arguments.build))
    try:
        log = cluster.platform()
        cluster.service("booking")
        cluster.service("enquiry", repeatable=True)
        cluster.engine("e1")
        ports = [cluster.node(name).port for name in fault_cluster.NODES]
        for rate in [int(each) for each in arguments.rates.split(",")]:
            plain, _, _ = load(ports, "enquiry", rate, arguments.seconds)
            before = log.state()["streams"].get("claims", 0)
            claimed, failed, spent = load(ports, "booking", rate, arguments.seconds)
            time.sleep(1.0)
            appends = log.state()["streams"].get("claims", 0) - before
            print(f"rate={rate} bookings={len(claimed)} failed={len(failed)} reasons={','.join(sorted(set(failed))) or '-'} bookings_per_s={len(claimed) / spent:.1f} "
                  f"appends={appends} appends_per_s={appends / spent:.1f} "
                  f"claimed_p50_ms={percentile(claimed, 0.5):.1f} claimed_p99_ms={percentile(claimed, 0.99):.1f} "
                  f"plain_p50_ms={percentile(plain, 0.5):.1f} plain_p99_ms={percentile(plain, 0.99):.1f}", flush=True)
    finally:
        cluster.close()
    return 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("what", choices=["soak", "measure"])
    parser.add_argument("--build", default="build")
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rates", default="1,10,100,500")
    parser.add_argument("--seconds", type=float, default=8.0)
    arguments = parser.parse_args()
    return soak(arguments) if arguments.what == "soak" else measure(arguments)


if __name__ == "__main__":
    sys.exit(main())
