"""Many streams over two nodes while engines crash, connections are cut and nodes are restarted."""

import random
import threading
import time

import harness

SEED = 20261203
STREAMS = 200
TOKENS = 40
BALANCER_LAG_MS = 3000
NEWS_SECONDS = BALANCER_LAG_MS / 2000  # age up to which the balancer's news count; the rest is left for the caller


class Balancer:
    """Sends callers to nodes that are ready, as it last heard; it asks every 100 ms."""

    def __init__(self):
        self.lock = threading.Lock()
        self.nodes = []
        self.ready = {}  # when each ready node was asked
        self.stopped = threading.Event()
        self.thread = threading.Thread(target=self.watch)
        self.thread.start()

    def add(self, node):
        with self.lock:
            self.nodes.append(node)
            self.ready[node] = time.monotonic()

    def remove(self, node):
        with self.lock:
            self.nodes.remove(node)

    def is_ready(self, node):
        try:
            return harness.http_call(node.port, "GET", "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def watch(self):
        while not self.stopped.wait(0.1):
            with self.lock:
                nodes = list(self.nodes)
            for node in nodes:
                asked_at = time.monotonic()
                is_ready = self.is_ready(node)
                with self.lock:
                    self.ready.pop(node, None)
                    if is_ready and node in self.nodes:
                        self.ready[node] = asked_at

    def fresh(self):
        """Ready nodes of which the news are within the lag that nodes are told of. The thread that asks them may itself
        be late by more, and would send callers to a node that stopped accepting long ago."""
        now = time.monotonic()
        with self.lock:
            return [node for node in self.nodes if now - self.ready.get(node, 0) < NEWS_SECONDS]

    def pick(self, chance):
        known = []

        def hears():
            known[:] = self.fresh()
            return known

        harness.wait_until(hears, "the balancer hears of a ready node")
        return chance.choice(known).port

    def close(self):
        self.stopped.set()
        self.thread.join()


class Restarts(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.cluster.bundle["limits"] = {"stream_silence_ms": 500, "retry_fraction": 1,
                                         "first_token_deadline_ms": 30_000}
        for i in range(3):
            self.cluster.engine(f"copy-{i}", "--step-ms", "20", "--slots", "256")
            self.cluster.bundle["engines"][i]["slots"] = 256
        self.ports = list(self.cluster.engines.values())
        self.balancer = Balancer()
        self.addCleanup(self.balancer.close)
        self.started = 0
        for _ in range(2):
            self.start_node()
        self.broken = []
        self.whole = 0
        self.count_lock = threading.Lock()

    def start_node(self):
        node = self.cluster.node(f"n{self.started}", balancer_lag_ms=BALANCER_LAG_MS)
        self.started += 1
        self.balancer.add(node)
        return node

    def restart(self, node):
        self.assertEqual(node.stop(), 0)
        self.balancer.remove(node)
        return self.start_node()

    def one_call(self, name, chance, stream):
        """One request of a caller; what it got must be its own answer, whole and in order."""
        prompt = f"bulletin {name}"
        try:
            status, body, _ = harness.chat(self.balancer.pick(chance), prompt, TOKENS, stream)
            text = harness.streamed_text(body) if stream else (harness.whole_text(body), True)
            good = status == 200 and text == ("".join(harness.expected_tokens(prompt, TOKENS)), True)
            problem = None if good else f"{name}: status {status}: {body[-300:]}"
        except (OSError, harness.http.client.HTTPException, KeyError, ValueError) as error:
            problem = f"{name}: {error!r}"
        with self.count_lock:
            self.whole += problem is None
            if problem:
                self.broken.append(problem)

    def callers(self, count, work):
        threads = [threading.Thread(target=work, args=(i, random.Random(SEED + i))) for i in range(count)]
        for thread in threads:
            thread.start()
        return threads

    def assert_all_whole(self, expected):
        self.assertEqual(self.broken, [])
        self.assertEqual(self.whole, expected)

    def test_no_stream_is_broken_reordered_or_foreign(self):
        """Engines crash and come back empty, connections are cut, answers are crossed and a node is
        restarted, all while 200 callers read. None of them may notice more than a pause."""
        chance = random.Random(SEED)
        rounds = 3
        threads = self.callers(STREAMS, lambda i, own: [
            self.one_call(f"{i}.{turn}", own, True) for turn in range(rounds)])
        restarted = threading.Thread(target=self.restart, args=(self.balancer.nodes[0],))
        restarted.start()
        kinds = [{"crash": True}, {"cut_at": 5, "cut_count": 10}, {"cross": 3}, {"stray": 5},
                 {"cut_at": 20, "cut_count": 10}, {"freeze_ms": 1500}]
        struck = 0
        while any(thread.is_alive() for thread in threads):
            harness.faults(chance.choice(self.ports), **kinds[struck % len(kinds)])
            struck += 1
            time.sleep(0.3)
        restarted.join()
        for thread in threads:
            thread.join()
        self.assertGreaterEqual(struck, len(kinds))
        self.assert_all_whole(STREAMS * rounds)

    def test_a_planned_stop_of_every_node_in_turn_cuts_no_request(self):
        """Every node is replaced, one after the other, under load. A caller must not see a
        connection end or a refusal because of it."""
        done = threading.Event()
        asked = [0] * 40

        def work(i, own):
            while not done.is_set():
                self.one_call(f"{i}.{asked[i]}", own, asked[i] % 2 == 0)
                asked[i] += 1

        threads = self.callers(len(asked), work)
        for node in list(self.balancer.nodes):
            self.restart(node)
        done.set()
        for thread in threads:
            thread.join()
        self.assertGreater(min(asked), 0)
        self.assert_all_whole(sum(asked))


if __name__ == "__main__":
    harness.main()
