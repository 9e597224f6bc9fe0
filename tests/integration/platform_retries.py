"""The budget of retries that all nodes share: engines fail most requests while nodes restart, callers move to
other nodes, and the store loses the list of nodes. Nodes as real processes, engines of the stand-in."""

import collections
import signal
import threading
import time

import harness
import platform_fleet

RATIO = 0.2  # retries for a request within the window
WINDOW_SECONDS = 4.0
KEYS_VALID_MS = 5000  # as the deployments have
FAILED = 0.9  # share of the requests that an engine answers with an error in its fault
CALM_SECONDS = WINDOW_SECONDS + 0.5  # in which the nodes count a whole window of requests


class RetryCase(platform_fleet.FleetTest):
    """Callers ask at a fixed rate, whatever becomes of their requests."""

    NODES, ENGINES, CALLERS, PAUSE, EXTRA = 3, 4, 16, 0.2, 10

    def setUp(self):
        super().setUp()
        self.engines = [self.fleet.engine(f"app-{i}", service="app") for i in range(self.ENGINES)]
        self.fleet.second_sends = {"ratio": RATIO, "extra": self.EXTRA, "window_ms": int(WINDOW_SECONDS * 1000)}
        for i in range(self.NODES):
            self.fleet.node(f"n{i}", keys_valid_ms=KEYS_VALID_MS)
        for node in self.fleet.nodes:
            self.fleet.wait_ready(node, hears_others=True)
        self.over, self.lock, self.asked, self.statuses = False, threading.Lock(), [], collections.Counter()
        self.targets = list(range(self.NODES))  # nodes that callers ask
        self.callers = [threading.Thread(target=self.call, args=(i,)) for i in range(self.CALLERS)]
        self.addCleanup(self.stop_callers)
        for each in self.callers:
            each.start()
        self.pass_seconds(CALM_SECONDS)

    def stop_callers(self):
        self.over = True
        for each in self.callers:
            each.join()

    def call(self, index):
        time.sleep(self.PAUSE * index / self.CALLERS)
        number, at = 0, time.monotonic()
        while not self.over:
            number += 1
            targets = self.targets
            node = self.fleet.nodes[targets[(index + number) % len(targets)]]
            with self.lock:
                self.asked.append(time.monotonic())
            try:
                status = self.fleet.ask(node, "/fetch/x", f"r-{index}-{number}", timeout=3, body=f"{index}/{number}")[0]
            except Exception:  # noqa: BLE001: the node has ended
                status = 0
            with self.lock:
                self.statuses[status] += 1
            at += self.PAUSE
            time.sleep(max(at - time.monotonic(), 0))

    @staticmethod
    def pass_seconds(seconds):
        end = time.monotonic() + seconds
        harness.wait_until(lambda: time.monotonic() > end, "the time is over")

    def begin_fault(self):
        self.faulty_from = time.monotonic()
        for each in self.engines:
            each.fails = FAILED

    def restart_all(self):
        """All nodes are killed at the same moment and start again."""
        nodes = list(self.fleet.nodes)
        for node in nodes:
            node.stop(signal.SIGKILL)
        for node in nodes:
            self.fleet.restart(node)
        for node in self.fleet.nodes:
            self.fleet.wait_ready(node, hears_others=True)

    def further_arrivals(self):
        """When requests reached engines that had reached one before."""
        arrivals = sorted((at, fields["X-Vanilladyke-Attempt-Id"])
                          for engine in self.engines for at, fields in list(engine.requests))
        seen, further = set(), []
        for at, identity in arrivals:
            if identity in seen:
                further.append(at)
            seen.add(identity)
        return further

    def logged_retries(self):
        """Retries by the logs of the nodes' processes, for each of them in the order of their starts."""
        return [each.log_text().count("event=retry ") for each in self.cluster.processes]

    def check_budget(self):
        """In no window more further arrivals than the ratio of its requests, or of those of the window before or half
        a window before, and the extra."""
        further, asked = self.further_arrivals(), sorted(self.asked)

        def within(times, start):
            return sum(start <= at < start + WINDOW_SECONDS for at in times)

        worst = (float("-inf"), 0, 0, 0)
        for start in further:
            requests = max(within(asked, start - back * WINDOW_SECONDS) for back in (0, 0.5, 1))
            count, allowed = within(further, start), RATIO * requests + self.EXTRA
            worst = max(worst, (count - allowed, count, allowed, start - asked[0]))
        print(f"{self.id()}: at most {worst[1]} further arrivals in a window, allowed {worst[2]:.0f}, from "
              f"{worst[3]:.1f} s on; {len(further)} of {len(asked)} requests in all, logged {self.logged_retries()}; "
              f"{dict(self.statuses)}", flush=True)
        faulty = sum(at > self.faulty_from for at in asked)
        self.assertGreater(len(further), RATIO * faulty / 2, "most of what is allowed is used")
        self.assertLessEqual(worst[0], 0)


class PlatformRetries(RetryCase):
    def test_nodes_that_keep_running_stay_within_the_budget(self):
        """The same load without a restart, which the tests below are compared with."""
        self.begin_fault()
        self.pass_seconds(2 * WINDOW_SECONDS)
        self.check_budget()

    def test_nodes_that_start_again_do_not_spend_the_budget_anew(self):
        """All nodes end by a kill while engines fail requests. Each process begins with a budget of its own, so
        that the fleet spends a whole one with each start within the same window."""
        self.begin_fault()
        for _ in range(2):
            self.pass_seconds(0.7)
            self.restart_all()
        self.pass_seconds(WINDOW_SECONDS)
        self.check_budget()

    def test_callers_that_move_to_one_node_do_not_bring_a_second_budget(self):
        """Callers leave the nodes at which their requests have earned retries, and earn others at one node. The
        retries of the one and of the other come within the same window."""
        self.begin_fault()
        self.pass_seconds(0.7)
        self.targets = [0]
        self.pass_seconds(WINDOW_SECONDS)
        self.check_budget()


class PlatformRetriesManyNodes(PlatformRetries):
    """At many nodes, each of which has a small part of the budget."""

    NODES, CALLERS, PAUSE = 12, 24, 0.3


if __name__ == "__main__":
    harness.main()
