"""Most new connections go to one node: nodes as real processes, engines of the stand-in that can run only a part of
what is asked at once."""

import threading
import time

import harness
import platform_fleet

CONTACT_SECONDS = 3.0   # from the crowd's beginning until it has to be served as before
OBSERVED_SECONDS = 5.0
ENGINES, PLACES = 4, 4  # requests that all engines run at once: 16
CALLERS = 60


class PlatformCrowd(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        for i in range(ENGINES):
            engine = self.fleet.engine(f"llm-{i}")
            engine.places, engine.seconds = PLACES, 0.15
        self.nodes = [self.fleet.ready_node(f"n{i}") for i in range(3)]
        for node in self.nodes:
            self.fleet.wait_ready(node, hears_others=True)
        self.over, self.lock, self.answers, self.crowded = False, threading.Lock(), [], False

    def call(self, caller):
        """Asks again and again, each time on a new connection. A refusal is followed by a pause of 30 ms."""
        number = 0
        while not self.over:
            number += 1
            node = self.nodes[0 if self.crowded else caller % len(self.nodes)]
            began = time.monotonic()
            try:
                status = self.fleet.ask(node, "/stream/x", f"{caller}-{number}", headers=self.fleet.prompt(f"{caller % 8}a"),
                                        body=f"{caller} {number}")[0]
            except Exception:  # noqa: BLE001: an answer that breaks off is none
                status = None
            with self.lock:
                self.answers.append((began, status))
            if status != 200:
                time.sleep(0.03)

    def share_served(self, begin, end):
        with self.lock:
            statuses = [status for at, status in self.answers if begin <= at < end]
        self.assertGreater(len(statuses), 50)
        return sum(status == 200 for status in statuses) / len(statuses)

    def test_a_crowd_at_one_node_is_served_as_if_it_were_spread(self):
        """The balancer gives nearly all new connections to one node. What a node does for itself, as leaving an
        engine alone that has just turned a request of its own away, then holds for all callers of the fleet."""
        threads = [threading.Thread(target=self.call, args=(i,)) for i in range(CALLERS)]
        for each in threads:
            each.start()
        time.sleep(2.0 + OBSERVED_SECONDS)
        turn = time.monotonic()
        self.crowded = True
        time.sleep(CONTACT_SECONDS + OBSERVED_SECONDS)
        self.over = True
        for each in threads:
            each.join()
        before = self.share_served(turn - OBSERVED_SECONDS, turn)
        later = self.share_served(turn + CONTACT_SECONDS, turn + CONTACT_SECONDS + OBSERVED_SECONDS - 0.5)
        self.assertGreaterEqual(later, 0.75 * before, f"{before:.3f} of the requests before")


if __name__ == "__main__":
    harness.main()
