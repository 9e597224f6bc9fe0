"""Engines that are brittle: they fall over if they have to turn too many requests away in a second. Nodes as
real processes, engines of the stand-in."""

import random
import signal
import threading
import time

import caller_ledger
import harness
import platform_fleet

CONTACT_SECONDS = 3.0  # after which the engines let fewer wait
OBSERVED_SECONDS = 8.0
REJECTIONS = 4  # a second, over which an engine falls over
KEYS_VALID_MS = 5000  # as the deployments have


class BrittleCase(platform_fleet.FleetTest):
    """Engines that callers ask for more than they can run, at first sturdy, then brittle."""

    NODES, ENGINES = 3, 4
    PLACES, WAITING, FEWER_WAITING = 2, 6, 1
    CALLERS = 30  # each waits for its answer
    RUN_SECONDS = 0.1
    SERVICE, MEMORY = "app", None

    def setUp(self):
        super().setUp()
        self.engines = [self.fleet.engine(f"{self.SERVICE}-{i}", service=self.SERVICE) for i in range(self.ENGINES)]
        for each in self.engines:
            each.places, each.most_waiting, each.seconds = self.PLACES, self.WAITING, self.RUN_SECONDS
            each.memory = self.MEMORY
        for i in range(self.NODES):
            self.fleet.node(f"n{i}", keys_valid_ms=KEYS_VALID_MS)
        self.nodes = self.fleet.nodes
        for node in self.nodes:
            self.fleet.wait_ready(node, hears_others=True)
        self.over, self.lock, self.answers = False, threading.Lock(), []
        self.start_callers()

    def start_callers(self):
        self.callers = [threading.Thread(target=self.call, args=(i,)) for i in range(self.CALLERS)]
        self.addCleanup(self.stop_callers)
        for each in self.callers:
            each.start()

    def stop_callers(self):
        self.over = True
        for each in self.callers:
            each.join()

    def ask(self, index, number):
        """One request. @return its status and how long to wait before the next one"""
        node = self.nodes[(index + number) % self.NODES]
        kind = ("call", "fetch")[number % 2]
        try:
            status, _, headers = self.fleet.ask(node, f"/{kind}/x", f"{kind}-{index}-{number}", timeout=6,
                                                body=f"{index}/{number}")
        except Exception:  # noqa: BLE001: a connection that ends early promises nothing
            return 0, 0.01
        return status, min(float(headers.get("Retry-After") or 0.01), 1) if status == 503 else 0.01

    def call(self, index):
        number = 0
        while not self.over:
            number += 1
            status, pause = self.ask(index, number)
            with self.lock:
                self.answers.append((time.monotonic(), status))
            time.sleep(pause)

    def able(self):
        """Requests that the engines can run at once."""
        return self.ENGINES * self.PLACES

    def live(self):
        return [each for each in list(self.fleet.engines) if each.state != "gone"]

    def served(self, since):
        return sum(status == 200 for at, status in list(self.answers) if at > since)

    def begin_brittleness(self):
        """Returns when the engines have said for the contact time that they are brittle, and let fewer wait."""
        harness.wait_until(lambda: self.served(0) > 200, "callers are served")
        for each in self.live():
            each.brittle = REJECTIONS
        said_at = time.monotonic()
        harness.wait_until(lambda: time.monotonic() > said_at + CONTACT_SECONDS, "every node can know")
        for each in self.live():
            each.most_waiting = self.FEWER_WAITING
            each.rejections.clear()

    def check_falls(self):
        """Observes for a while: the engines stay up, and yet do what they can."""
        before = self.fleet.falls()
        start = time.monotonic()
        able = OBSERVED_SECONDS * self.able() / self.RUN_SECONDS
        harness.wait_until(lambda: time.monotonic() > start + OBSERVED_SECONDS, "the time observed is over")
        falls, served = self.fleet.falls() - before, self.served(start)
        print(f"{self.id()}: {falls} falls, {served} served of {able:.0f} that the engines can run", flush=True)
        self.assertLessEqual(falls, 2 + self.ENGINES / 10)
        harness.wait_until(lambda: self.served(start) > able / 2, "what the engines can take is used")


class PlatformBrittle(BrittleCase):
    def test_brittle_engines_do_not_fall_over_under_more_than_they_can_take(self):
        """Callers ask for three times what the engines can run. Each node for itself sends to a full engine,
        retries elsewhere and comes back, until engines fall over one after the other."""
        self.begin_brittleness()
        self.check_falls()


class PlatformBrittleBursts(BrittleCase):
    NODES, ENGINES, PLACES, CALLERS, RUN_SECONDS = 4, 6, 4, 40, 0.15

    def test_a_pause_that_ends_everywhere_at_once_brings_no_burst(self):
        """All nodes hold back after a rejection, for the same time, and all have callers ready when it ends: what
        they send in the same moment is more than the places that each of them saw."""
        self.begin_brittleness()
        self.check_falls()

    def test_engines_that_let_nobody_wait_do_not_fall_over(self):
        """No answer shows a request that waits, so that nothing warns the nodes before a rejection."""
        self.FEWER_WAITING = 0
        self.begin_brittleness()
        self.check_falls()


class PlatformBrittleManyNodes(BrittleCase):
    NODES, ENGINES, PLACES, CALLERS, RUN_SECONDS = 20, 6, 4, 40, 0.15

    def test_engines_with_less_places_than_there_are_nodes_do_not_fall_over(self):
        """What each node may send is a fraction of a request, and each of them sends a whole one."""
        self.begin_brittleness()
        self.check_falls()


class PlatformBrittleRestarts(BrittleCase):
    NODES, ENGINES, PLACES, CALLERS, RUN_SECONDS = 8, 6, 4, 40, 0.15
    FAULT_SECONDS = 1.4

    def able(self):
        return super().able() - self.PLACES  # one is down, for most of the time

    def test_an_engine_that_starts_again_is_not_taken_for_a_sturdy_one(self):
        """One engine after the other ends by a fault and is back under a new id, which has said nothing. All nodes
        send it what they may not send to the others, and it falls over before its first answer."""
        self.begin_brittleness()
        random_engine = random.Random(5)

        def break_engines():
            while not self.over:
                time.sleep(self.FAULT_SECONDS)
                random_engine.choice(self.live()).end()

        breaker = threading.Thread(target=break_engines)
        breaker.start()
        self.addCleanup(breaker.join)
        self.addCleanup(self.stop_callers)
        self.check_falls()


class PlatformBrittleLeavers(BrittleCase):
    NODES, ENGINES, PLACES, CALLERS, RUN_SECONDS = 4, 6, 4, 60, 0.15
    PATIENCE = 0.2
    MOST_AFTER_LEAVING = 4  # requests that may reach an engine so long after their callers have left

    def start_callers(self):
        self.ledger = caller_ledger.Ledger(self.fleet)
        super().start_callers()

    def ask(self, index, number):
        if number % 2:
            return super().ask(index, number)
        identity = f"call-{index}-{number}"
        try:
            status, _, headers = self.fleet.ask(self.nodes[(index + number) % self.NODES], "/call/x", identity,
                                                timeout=self.PATIENCE, body=f"{index}/{number}")
        except Exception:  # noqa: BLE001: the caller has left
            self.ledger.closing(identity)
            return 0, 0.01
        return status, min(float(headers.get("Retry-After") or 0.01), 1) if status == 503 else 0.01

    def test_callers_that_leave_while_they_wait_for_a_place_neither_take_it_nor_end_engines(self):
        """Every second caller leaves while its request waits for a place. A request that is sent all the same takes an
        engine's place for nobody, and one that has left without giving its place back makes nodes send too much or too
        little."""
        self.begin_brittleness()
        self.check_falls()
        late = self.ledger.late_arrivals()
        print(f"{self.id()}: {len(self.ledger.left)} callers left, {len(late)} requests came later", flush=True)
        self.assertGreater(len(self.ledger.left), 20)
        self.assertLessEqual(len(late), self.MOST_AFTER_LEAVING, self.ledger.story(dict(late)))


class PlatformBrittleStarts(BrittleCase):
    NODES, ENGINES, PLACES, CALLERS, RUN_SECONDS = 3, 6, 4, 90, 0.15

    def test_nodes_that_all_start_again_do_not_end_engines_that_they_know_nothing_of(self):
        """All nodes end at the same moment, and with them all knowledge of how much the engines bear. Callers come back
        at once, and processes that take the engines for sturdy ones send to them whatever comes."""
        self.begin_brittleness()
        for node in self.nodes:
            node.stop(signal.SIGKILL)
        for node in list(self.nodes):
            self.fleet.restart(node)
        self.check_falls()


class PlatformBrittleStartsManyNodes(PlatformBrittleStarts):
    NODES = 16


class PlatformBrittleMemory(BrittleCase):
    NODES, ENGINES, PLACES, CALLERS, RUN_SECONDS = 4, 6, 16, 60, 0.15
    SERVICE, MEMORY, WAITING = "llm", 16_000, 12
    SMALL, LARGE = 2_000, 6_000

    def able(self):
        return self.ENGINES * self.MEMORY / ((self.SMALL + self.LARGE) / 2)

    def ask(self, index, number):
        tokens = (self.SMALL, self.LARGE)[random.Random(f"{index}/{number}").random() < 0.5]
        headers = {"X-Vanilladyke-Model": "m", "X-Vanilladyke-Token-Usage": f"{tokens - 80},80",
                   "X-Vanilladyke-Prompt-Prefix":
                       f"{random.getrandbits(32):08x}:100,{random.getrandbits(32):08x}:{tokens - 180}"}
        read = self.fleet.read_stream(self.nodes[(index + number) % self.NODES], f"s-{index}-{number}", headers,
                                      body=f"{index}/{number}")
        pause = min(float(read.retry_after or 0.01), 1) if read.status == 503 else 0.01
        return (200 if read.whole and len(read.data) == 5 else read.status if read.status == 503 else 0), pause

    def test_engines_whose_memory_is_full_before_their_places_do_not_fall_over(self):
        """Large requests fill an engine's memory while most of its places are free, so that nodes which count places
        send more than it can take."""
        self.begin_brittleness()
        self.check_falls()


if __name__ == "__main__":
    harness.main()
