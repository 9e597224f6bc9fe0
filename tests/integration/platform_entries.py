"""Entries of servers that start again under their id, and of other writers: nodes as real processes, engines of the
stand-in."""

import threading
import time

import harness
import platform_fleet
import platform_http

DRAIN_SECONDS = 2.0
OBSERVED_SECONDS = 2.0
CALLERS = 6
HOUR_OF_BEATS = 3000
NEXT_BEAT_SECONDS = 0.3  # until the engine has written again


class OtherServer:
    """Carries out whatever it is asked, and knows none of the platform's headers."""

    def __init__(self):
        self.runs = []
        self.server = platform_http.Server(("127.0.0.1", 0), platform_http.Handler)
        self.server.owner = self
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def handle(self, call):
        call.body()
        self.runs.append(call.path)
        call.answer(200, b"done")


class RebornEngine(platform_fleet.platform_engine.Engine):
    """Names its start in its entries."""

    born = 1_000

    def entry(self):
        return {**super().entry(), "born": self.born}

    def start_again(self):
        """A crash and a start that take no time, at the same address."""
        self.born, self.beats, self.sequence = self.born + 60_000, 0, 0


class PlatformEntries(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.engines = [RebornEngine(f"app-{i}", service="app") for i in range(2)]
        for each in self.engines:
            each.beats = HOUR_OF_BEATS
        self.fleet.engines.extend(self.engines)
        self.over, self.statuses = False, []

    def begin(self):
        # Valid keys for as long as the deployments have them: this is not about a store that is slow to answer.
        self.nodes = [self.fleet.node(f"n{i}", keys_valid_ms=5000) for i in range(2)]
        for node in self.nodes:
            self.fleet.wait_ready(node)
        self.callers = [threading.Thread(target=self.call, args=(i,)) for i in range(CALLERS)]
        self.addCleanup(self.stop_callers)
        for each in self.callers:
            each.start()

    def stop_callers(self):
        self.over = True
        for each in self.callers:
            each.join()

    def call(self, index):
        number = 0
        while not self.over:
            number += 1
            self.statuses.append(self.fleet.ask(self.nodes[index % 2], "/call/x", f"c-{index}-{number}")[0])
            time.sleep(0.02)

    @staticmethod
    def observe(seconds):
        end = time.monotonic() + seconds
        harness.wait_until(lambda: time.monotonic() > end, "observed")

    def let_leave_after_a_start(self):
        """An engine that has started again drains. @return the engine, and when the store has accepted that"""
        leaver = self.engines[0]
        leaver.start_again()
        self.observe(1.0)
        leaver.state = "draining"
        self.fleet.store.put("keyed.servers", leaver.name, leaver.entry())
        return leaver, time.monotonic()

    def check_left(self, leaver, acknowledged):
        self.assertGreater(len(leaver.requests), 10)
        self.assertEqual([at for at, _ in list(leaver.requests) if at > acknowledged + DRAIN_SECONDS], [])

    def test_an_engine_that_started_again_under_its_id_leaves(self):
        """Its count of entries begins anew, so that its draining looks like an old entry, and requests go on to it."""
        self.begin()
        leaver, acknowledged = self.let_leave_after_a_start()
        self.observe(DRAIN_SECONDS + OBSERVED_SECONDS)
        self.check_left(leaver, acknowledged)

    def test_a_late_entry_of_the_start_before_does_not_bring_a_leaving_engine_back(self):
        """The store carries it out after the new start has reported that it drains. Requests would go to the engine until
        it writes again."""
        self.begin()
        late = {**self.engines[0].entry(), "sequence": HOUR_OF_BEATS + 1000}
        leaver, acknowledged = self.let_leave_after_a_start()
        self.fleet.engines.remove(leaver)  # it writes no more entries
        self.addCleanup(leaver.close)
        self.observe(DRAIN_SECONDS / 2)
        self.fleet.store.put("keyed.servers", leaver.name, late)
        self.observe(DRAIN_SECONDS / 2 + OBSERVED_SECONDS)
        self.check_left(leaver, acknowledged)

    def test_an_entry_of_another_writer_with_a_huge_sequence_hides_no_engine(self):
        """It lies under an engine's id, and the engine goes on writing its own with lower numbers."""
        self.begin()
        for engine in self.engines:
            self.fleet.store.put("keyed.servers", engine.name,
                                 {**engine.entry(), "service": "other", "sequence": 2 ** 64 - 1})
        self.observe(DRAIN_SECONDS + NEXT_BEAT_SECONDS)
        before = len(self.statuses)
        self.observe(OBSERVED_SECONDS)
        after = self.statuses[before:]
        self.assertGreater(len(after), 20)
        self.assertEqual(after.count(200), len(after), after)

    def test_an_entry_that_lacks_a_field_or_holds_another_type_names_no_server(self):
        """What listens at its address is no engine, and would carry out requests under a tenant's name."""
        other = OtherServer()
        self.addCleanup(other.server.end)
        sound = {**self.engines[0].entry(), "address": f"127.0.0.1:{other.server.server_address[1]}"}
        odd = [{name: value for name, value in sound.items() if name != lacked}
               for lacked in ("service", "address", "zone", "slots", "state", "sequence")]
        odd += [{**sound, **changed} for changed in (
            {"state": "idle"}, {"state": None}, {"slots": "8"}, {"slots": 0}, {"slots": 2 ** 40}, {"sequence": -1},
            {"sequence": 1e18}, {"zone": 7}, {"version": 7}, {"born": "now"})]
        for number, entry in enumerate(odd):
            self.fleet.store.put("keyed.servers", f"other-{number}", entry)
        self.begin()
        for entry in odd:  # under an engine's id, too, which it must not take away or replace
            self.fleet.store.put("keyed.servers", self.engines[0].name, entry)
        self.observe(DRAIN_SECONDS + OBSERVED_SECONDS)
        self.assertEqual(other.runs, [])
        self.assertGreater(len(self.engines[0].requests), 20)
        self.assertEqual(self.statuses.count(200), len(self.statuses))


if __name__ == "__main__":
    harness.main()
