"""Engines that name a limit: nodes as real processes, engines of the stand-in."""

import json
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
            self.fleet.wait_ready(node, hears_others=True)
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

    def test_a_limit_follows_what_the_engine_says_and_ends_with_it(self):
        """The engine recovers and takes more, then names no limit any more; later it begins anew under another
        id. Nodes that go on with an old limit leave it idle for good."""
        limited = self.engines[0]
        self.rise(limited, 5)
        limited.limit = 0.5
        for node in self.nodes:
            harness.wait_until(lambda n=node: "event=engine_limit backend=llm-0 per_second=0.5" in n.log_text(),
                               "all nodes know of it")
        limited.limit = 8
        for node in self.nodes:
            harness.wait_until(lambda n=node: "event=engine_limit backend=llm-0 per_second=8" in n.log_text(),
                               "all nodes know that it takes more")
        limited.limit = None
        for node in self.nodes:
            harness.wait_until(lambda n=node: "event=engine_limit backend=llm-0 per_second=0 named=false"
                               in n.log_text(), "all nodes know that it is over")
        self.rise(limited, 100)
        limited.limit = 0.5
        self.rise(limited, 2)
        limited.end()
        harness.wait_until(lambda: any(each.name == "llm-0+" for each in self.fleet.engines), "it begins anew")
        self.rise([each for each in self.fleet.engines if each.name == "llm-0+"][0], 50)

    def test_where_every_engine_names_a_limit_callers_hear_so_at_once(self):
        """What does not fit anywhere would wait for a token until its time is over."""
        for each in self.engines:
            each.limit = 1
        harness.wait_until(lambda: any("outcome=no_backend" in node.log_text() for node in self.nodes), "refusals")
        status, body, headers = 200, "", {}
        while status == 200:
            status, body, headers = self.fleet.ask(self.nodes[0], "/stream/x", f"o{time.monotonic()}",
                                                   headers=self.fleet.prompt())
        self.assertEqual((status, json.loads(body)["ran"]), (503, "no"))
        self.assertIn("Retry-After", headers)
        for each in self.engines:
            each.limit = None
        for each in self.engines:
            self.rise(each, 20)


if __name__ == "__main__":
    harness.main()
