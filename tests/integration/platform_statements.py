"""What engines say of themselves in their answers: that they leave, or want rest. Nodes as real processes,
engines of the stand-in."""

import threading
import time

import harness
import platform_fleet

DRAIN_SECONDS = 2.0  # from an answer that says so until nothing may reach the engine
REST_SECONDS = 5.0
GRACE_SECONDS = 0.5  # from the answer until the rest has to be kept
OBSERVED_SECONDS = 3.0
CALLERS = 6


class PlatformStatements(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.engines = [self.fleet.engine(f"app-{i}", service="app") for i in range(3)]
        self.over, self.statuses = False, []
        self.callers = []
        self.addCleanup(self.stop_callers)

    def stop_callers(self):
        self.over = True
        for each in self.callers:
            each.join()

    def begin(self, count):
        self.nodes = [self.fleet.ready_node(f"n{i}") for i in range(count)]
        for node in self.nodes:
            self.fleet.wait_ready(node, hears_others=True)
        self.callers = [threading.Thread(target=self.call, args=(i,)) for i in range(CALLERS)]
        for each in self.callers:
            each.start()

    def call(self, index):
        number = 0
        while not self.over:
            number += 1
            node = self.nodes[(index + number) % len(self.nodes)]
            self.statuses.append(self.fleet.ask(node, "/open/x", f"o-{index}-{number}", key=None)[0])
            time.sleep(0.01)

    @staticmethod
    def arrivals(engine):
        return [at for at, _ in list(engine.requests)]

    @staticmethod
    def rise(engine, count):
        before = len(engine.requests)
        harness.wait_until(lambda: len(engine.requests) >= before + count, f"{count} more requests at {engine.name}")

    def test_an_engine_that_says_in_an_answer_that_it_leaves_gets_no_more_requests(self):
        """The store is away, so that its listing says nothing of it; the store comes back with an older one.
        The engine ends with what was sent to it."""
        self.begin(2)
        leaving = self.engines[0]
        self.rise(leaving, 10)
        self.fleet.store.down = True
        leaving.leaving = True
        said_at = time.monotonic()
        self.rise(leaving, 1)
        harness.wait_until(lambda: time.monotonic() > said_at + DRAIN_SECONDS + OBSERVED_SECONDS, "observed")
        late = [at for at in self.arrivals(leaving) if at > said_at + DRAIN_SECONDS]
        self.assertEqual(late, [])
        self.fleet.store.down = False
        leaving.leaving = False  # its entry says ready, as before
        back_at = time.monotonic()
        harness.wait_until(lambda: time.monotonic() > back_at + OBSERVED_SECONDS, "the listing is read again")
        self.assertEqual([at for at in self.arrivals(leaving) if at > said_at + DRAIN_SECONDS], [])
        self.assertGreater(self.statuses.count(200), 100)

    def test_an_engine_that_asks_for_rest_gets_it(self):
        """It turns a request away and names the seconds in which it wants nothing from that node."""
        self.begin(1)
        resting = self.engines[0]
        self.rise(resting, 10)
        resting.rest = REST_SECONDS
        harness.wait_until(lambda: resting.rests, "it asks for rest")
        start = resting.rests[0]
        harness.wait_until(lambda: time.monotonic() > start + REST_SECONDS, "its rest is over")
        for asked_at in list(resting.rests):
            during = [at for at in self.arrivals(resting)
                      if asked_at + GRACE_SECONDS < at < asked_at + REST_SECONDS]
            self.assertLessEqual(len(during), 2)
        resting.rest = None
        self.rise(resting, 10)


if __name__ == "__main__":
    harness.main()
