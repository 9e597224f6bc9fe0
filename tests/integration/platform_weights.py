"""When nodes believe that new weights were named: real processes against a stand-in of the store."""

import datetime
import re
import signal
import time

import harness
import platform_fleet

MARGIN_SECONDS = 0.8  # what waits at an engine is withdrawn so long before the time that a node believes in


class PlatformWeights(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.engines = [self.fleet.engine(f"llm-{i}", load_seconds=600) for i in range(3)]
        self.nodes = [self.fleet.ready_node(f"n{i}") for i in range(3)]
        for node in self.nodes:
            self.fleet.wait_ready(node, hears_others=True)

    @staticmethod
    def dates(node, version, by=r"\S+"):
        """When the node believed that the version had been named, in the order of its lines."""
        pattern = rf"time=(\S+) .*event=weights_dated model=m version={version} by={by} age_ms=([\d.]+)"
        found = re.findall(pattern, node.log_text())
        return [datetime.datetime.fromisoformat(at.replace("Z", "+00:00")).timestamp() - float(age) / 1000
                for at, age in found]

    def name(self, version):
        self.fleet.name_weights(version)
        return time.time()

    def test_a_node_whose_call_was_passed_over_dates_weights_as_others_do(self):
        """The store takes no notice of one node's call while it writes the record, and answers it at its end. A
        node that takes the record for young sends requests to engines whose weights are too old."""
        store = self.fleet.store
        harness.wait_until(lambda: store.waited.get("keyed.op", 0) > 9 and store.waiting("keyed.op") == 3
                           and time.monotonic() - store.newest_wait("keyed.op") < 0.5,
                           "all wait, as in nodes that have run for a while, and one has just begun to")
        store.pass_over("keyed.op")
        named_at = self.name(2)
        for node in self.nodes:
            harness.wait_until(lambda n=node: self.dates(n, 2, "record"), "all have read it")
            self.assertLessEqual(self.dates(node, 2, "record")[0], named_at + 0.05)
        texts = [node.log_text() for node in self.nodes]
        self.assertEqual(sum("event=operator_wait_passed_over" in text for text in texts), 1)

    def test_a_node_that_starts_learns_when_weights_were_named(self):
        """A node is killed, two versions are named while it is away, and it finds only the newest, of an unknown
        age. Its guess would keep engines open to requests after their time."""
        away = self.nodes[2]
        away.popen.send_signal(signal.SIGKILL)
        away.popen.wait()
        named = {version: self.name(version) for version in (2, 3)}
        for version in named:
            harness.wait_until(lambda v=version: all(self.dates(n, v, "record") for n in self.nodes[:2]), "both know")
        harness.wait_until(lambda: time.time() > named[3] + 2, "the guess would be wrong")
        back = self.fleet.restart(away)
        for version, named_at in named.items():
            harness.wait_until(lambda v=version: self.dates(back, v, "peer"), "another node has told")
            self.assertLessEqual(self.dates(back, version, "peer")[-1], named_at + MARGIN_SECONDS)
            self.assertGreater(self.dates(back, version, "peer")[-1], named_at - 5, "no guess any more")


if __name__ == "__main__":
    harness.main()
