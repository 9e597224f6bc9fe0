"""Quotas of customers over all nodes: nodes as real processes, engines of the stand-in."""

import json
import signal
import threading
import time

import harness
import platform_fleet

PER_SECOND = 20000  # tokens
TOKENS = 1540  # of one request
WINDOW_SECONDS = 2.0
OVER, SLACK = 0.1, 10000
ALLOWED = (PER_SECOND * WINDOW_SECONDS + PER_SECOND) * (1 + OVER) + SLACK
NODES = 4
KEYS_VALID_MS = 5000


class PlatformQuota(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.fleet.quota = {"window_ms": int(WINDOW_SECONDS * 1000), "over": OVER, "slack": SLACK}
        brand = self.fleet.config["tenants"][0]
        brand.update({"ratePerS": PER_SECOND, "burst": PER_SECOND, "unit": "token_count", "plainTokens": 200})
        self.fleet.publish()
        self.engines = [self.fleet.engine(f"llm-{i}") for i in range(3)]
        self.nodes = [self.fleet.node(f"n{i}", keys_valid_ms=KEYS_VALID_MS) for i in range(NODES)]
        for node in self.nodes:
            self.await_hearing(node)
        self.over, self.answers, self.callers = False, [], []
        self.addCleanup(self.stop_callers)

    def await_hearing(self, node):
        self.fleet.wait_ready(node)
        harness.wait_until(lambda: "quota_heard_part 1" in harness.http_call(node.metrics_port, "GET", "/metrics")[1],
                           "it hears the others")

    def stop_callers(self):
        self.over = True
        for each in self.callers:
            each.join()

    def start_callers(self, count, pause, key="brand-key"):
        for index in range(count):
            self.callers.append(threading.Thread(target=self.call, args=(f"{key}-{len(self.callers)}", index, pause, key)))
            self.callers[-1].start()

    def call(self, name, index, pause, key):
        number = 0
        while not self.over:
            number += 1
            node = self.fleet.nodes[(index + number) % NODES]
            headers = self.fleet.prompt(f"{number % 6:08x}")
            try:
                status, body, fields = self.fleet.ask(node, "/stream/x", f"{name}-{number}", key=key, headers=headers)
                self.answers.append((time.monotonic(), key, f"{name}-{number}", status, body, fields))
            except OSError:
                pass  # the node has ended
            time.sleep(pause)

    def statuses(self, key):
        return [each[3] for each in list(self.answers) if each[1] == key]

    def play(self, windows):
        until = time.monotonic() + windows * WINDOW_SECONDS
        harness.wait_until(lambda: time.monotonic() > until, "windows have passed")

    def most_tokens(self):
        """The most tokens that reached engines in some window."""
        times = self.fleet.arrivals("brand-key")
        return max((sum(first <= at < first + WINDOW_SECONDS for at in times) * TOKENS for first in times), default=0)

    def test_all_nodes_together_admit_no_more_than_the_quota(self):
        """A customer asks at every node for many times its quota. Nodes that each admit the whole quota let
        it have that once for each node, and the other customers wait behind its prompts."""
        self.start_callers(12, 0.02)
        self.play(4)
        self.assertLessEqual(self.most_tokens(), ALLOWED)
        arrived = len(self.fleet.arrivals("brand-key")) * TOKENS
        self.assertGreater(arrived, 0.8 * PER_SECOND * 4 * WINDOW_SECONDS, "what it may have is served")
        refused = [each for each in list(self.answers) if each[3] == 429]
        self.assertGreater(len(refused), 20)
        ran = {fields["X-Vanilladyke-Attempt-Id"] for engine in self.engines for _, fields in list(engine.requests)}
        for _, _, identity, _, body, fields in refused:
            self.assertEqual(json.loads(body)["ran"], "no")
            self.assertIn("Retry-After", fields)
            self.assertNotIn(identity, ran, "what was refused has not run")

    def test_within_its_quota_a_customer_is_not_refused(self):
        """Half of the quota, through all nodes in turn: a node's equal part of it would be too small."""
        self.play(0.6)  # the accounts of processes that all start together begin empty
        self.start_callers(2, 0.3)
        self.play(3)
        self.assertNotIn(429, self.statuses("brand-key"))
        self.assertGreater(len(self.statuses("brand-key")), 15)

    def test_another_customer_is_served_beside_one_over_its_quota(self):
        """One customer's excess would take the engines' places from the others."""
        self.start_callers(8, 0.02)
        self.start_callers(2, 0.1, key="walled-key")
        self.play(2)
        self.assertIn(429, self.statuses("brand-key"))
        self.assertNotIn(429, self.statuses("walled-key"))
        served = self.statuses("walled-key").count(200)
        self.assertGreater(served, 0.9 * len(self.statuses("walled-key")))

    def test_nodes_that_all_start_again_keep_the_quota(self):
        """A process that starts knows nothing of what the one before admitted. If each began with a full
        account, a customer would get its burst once more at each node."""
        self.start_callers(12, 0.02)
        self.play(1)
        for node in list(self.fleet.nodes):
            node.stop(signal.SIGKILL)
        started = [self.fleet.restart(node) for node in list(self.fleet.nodes)]
        for node in started:
            self.await_hearing(node)
        served = len(self.fleet.arrivals("brand-key"))
        self.play(2)
        self.assertLessEqual(self.most_tokens(), ALLOWED)
        self.assertGreater(len(self.fleet.arrivals("brand-key")), served + 20, "they serve again")

    def test_a_node_that_starts_beside_others_admits_at_once(self):
        """A process that began with an empty account would refuse callers, while the others know that
        little was spent."""
        self.play(0.6)
        self.nodes[0].stop(signal.SIGKILL)
        started = self.fleet.restart(self.nodes[0])
        harness.wait_until(lambda: "event=quota_levels_received" in started.log_text(), "the others tell their levels")
        self.fleet.wait_ready(started)
        for number in range(5):
            status, _, _ = self.fleet.ask(started, "/stream/x", f"early-{number}", headers=self.fleet.prompt())
            self.assertEqual(status, 200)

    def test_a_lower_quota_binds_all_nodes(self):
        self.start_callers(12, 0.02)
        self.play(1)
        brand = self.fleet.config["tenants"][0]
        brand.update({"ratePerS": PER_SECOND / 10, "burst": PER_SECOND / 10})
        self.fleet.publish()
        version = f"version={self.fleet.config['version']}"
        for node in self.nodes:
            harness.wait_until(lambda n=node: version in n.log_text(), "all nodes know the new quota")
        since = time.monotonic() + WINDOW_SECONDS
        self.play(3)
        times = [at for at in self.fleet.arrivals("brand-key") if at > since]
        most = max((sum(first <= at < first + WINDOW_SECONDS for at in times) * TOKENS for first in times), default=0)
        self.assertLessEqual(most, PER_SECOND / 10 * (WINDOW_SECONDS + 1) * (1 + OVER) + SLACK)

    def test_a_quota_that_makes_no_sense_is_reported(self):
        """The version that holds it is handled as any other that can't be read; the one before stays in force."""
        self.fleet.config["tenants"][0]["unit"] = "bushels"
        self.fleet.publish()
        for node in self.nodes:
            harness.wait_until(lambda n=node: "event=bad_configuration" in n.log_text(), "the error is logged")
            self.assertIn("unknown unit of a quota: bushels", node.log_text())
        self.assertEqual(self.fleet.ask(self.nodes[0], "/stream/x", "after", headers=self.fleet.prompt())[0], 200)


if __name__ == "__main__":
    harness.main()
