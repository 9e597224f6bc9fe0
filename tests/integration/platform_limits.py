"""Engines that name a limit: nodes as real processes, engines of the stand-in."""

import threading
import time

import harness
import platform_fleet

CONTACT_SECONDS = 3.0  # after which the limit has to hold over all nodes
WINDOW_SECONDS = 4.0
CALLERS = 12


class PlatformLimits(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.engines = [self.fleet.engine(f"llm-{i}") for i in range(3)]
        self.nodes = [self.fleet.ready_node(f"n{i}") for i in range(3)]
        for node in self.nodes:
            harness.wait_until(lambda n=node: "event=fleet_key_known" in n.log_text(), "nodes hear each other")
        self.over, self.statuses = False, []
        self.callers = [threading.Thread(target=self.call, args=(i,)) for i in range(CALLERS)]
        self.addCleanup(self.stop_callers)
        for each in self.callers:
            each.start()

    def stop_callers(self):
        self.over = True
        for each in self.callers:
            each.join()

    def call(self, index):
        """Long prompts with a few shared parts, at every node in turn."""
        number = 0
        while not self.over:
            number += 1
            node = self.nodes[(index + number) % len(self.nodes)]
            headers = self.fleet.prompt(f"{(index + number) % 6:08x}")
            self.statuses.append(self.fleet.ask(node, "/stream/x", f"c{index}-{number}", headers=headers)[0])
            time.sleep(0.05)

    @staticmethod
    def arrivals(engine):
        return sorted(at for at, _ in list(engine.requests))

    def most_in_window(self, engine, start):
        """The most requests that reached the engine in some window that begins after the start."""
        times = [at for at in self.arrivals(engine) if at >= start]
        return max((sum(first <= at < first + WINDOW_SECONDS for at in times) for first in times), default=0)

    def rise(self, engine, count):
        before = len(engine.requests)
        harness.wait_until(lambda: len(engine.requests) >= before + count, f"{count} more requests at {engine.name}")

    def test_an_engine_gets_no_more_than_the_limit_that_it_names(self):
        """An engine in need names a limit for all nodes together. Nodes that don't read it, or each take it
        for their own, send several times as much, and the engine never recovers."""
        limited = self.engines[0]
        self.rise(limited, 5)
        limited.limit = 2.5
        named_at = time.monotonic()
        others = len(self.engines[1].requests) + len(self.engines[2].requests)
        harness.wait_until(lambda: time.monotonic() > named_at + CONTACT_SECONDS + 2 * WINDOW_SECONDS, "two windows")
        allowed = 1.5 * WINDOW_SECONDS * limited.limit + 5
        self.assertLessEqual(self.most_in_window(limited, named_at + CONTACT_SECONDS), allowed)
        self.assertGreater(len(self.engines[1].requests) + len(self.engines[2].requests), others + 100)
        self.assertGreater(sum(at > named_at + CONTACT_SECONDS for at in self.arrivals(limited)), 5,
                           "what it allows is used")


if __name__ == "__main__":
    harness.main()
