"""A seeded soak: nodes on the platform, with every path through a proxy that breaks it, while nodes are
killed, paused and stopped and new weights are named. Checks what must hold whatever goes wrong:
nothing that may not repeat runs twice, no refusal of a request that ran says that it did not, every
success is whole and the caller's own, and engines get orders from one node at a time."""

import collections
import contextlib
import json
import os
import random
import signal
import sys
import threading
import time

import harness
import platform_fleet

STEPS = int(os.environ.get("SOAK_STEPS", "24"))
ENDING = "ends the engine"  # the body of requests that end engines
SEEDS = [int(seed) for seed in os.environ.get("SOAK_SEEDS", "11,12").split(",")]
PROMISES_NOT_RUN = {408, 421, 429, 503}
CALLERS = 6


class Soak(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.start_proxy()
        for i in range(3):
            self.behind_proxy(self.fleet.engine(f"app-{i}", service="app"))
            self.behind_proxy(self.fleet.engine(f"llm-{i}"))
        self.store_port = self.link("store", self.fleet.store.port)

    def behind_proxy(self, engine):
        engine.entry_port = self.link(engine.name, engine.port)

    def trouble_engine(self, rng):
        """One seeded piece of trouble of an engine's own: it ends, or names another limit or none."""
        engine = rng.choice(self.fleet.engines)
        what = rng.choice(["end", "limit", "limit", "no_limit", "ending_request"])
        if what == "end":
            engine.end()
        elif what == "limit":
            engine.limit = rng.choice([0, 0.5, 3, 12.5])
        elif what == "no_limit":
            engine.limit = None
        else:
            for i in range(4):
                with contextlib.suppress(Exception):  # a connection that ends early promises nothing
                    self.fleet.ask(rng.choice(self.fleet.nodes), "/stream/x", f"ending-{rng.getrandbits(32)}-{i}",
                                   headers=self.fleet.prompt(), body=ENDING, timeout=6)
        return f"{what} {engine.name}"

    def call(self, number, rng):
        """One request of a caller. Records what it was told."""
        kind = rng.choice(["call", "call", "fetch", "stream"])
        identity = f"{kind}-{number}"
        node = rng.choice(self.fleet.nodes)
        headers = self.fleet.prompt(f"{rng.randrange(6):08x}") if kind == "stream" else {}
        try:
            status, body, _ = self.fleet.ask(node, f"/{kind}/x", identity, headers=headers, timeout=6)
        except Exception:  # noqa: BLE001: a connection that ends early promises nothing
            status, body = None, ""
        with self.lock:
            self.answers[identity] = (kind, status, body)

    def caller(self, index):
        rng = random.Random(f"{self.seed}/{index}")
        number = 0
        while not self.over:
            number += 1
            self.call(f"{index}-{number}", rng)
            time.sleep(rng.random() * 0.02)

    def trouble(self, rng):
        """One seeded piece of trouble."""
        link = rng.choice(self.links)
        what = rng.choice(["refuse", "reset", "freeze", "freeze_new", "lose", "cut", "delay", "kill", "pause",
                           "stop", "weights", "config", "mend"])
        if what in ("refuse", "reset", "freeze", "freeze_new"):
            self.break_link(link, **{what: True})
        elif what == "lose":
            self.break_link(link, lose_answers=rng.randrange(1, 8))
        elif what == "cut":
            self.break_link(link, cut_answer_at=rng.randrange(1, 600))
        elif what == "delay":
            self.break_link(link, delay_ms=rng.randrange(10, 400))
        elif what == "weights":
            self.version += 1
            self.fleet.name_weights(self.version)
        elif what == "config":
            self.fleet.publish()
        elif what == "mend":
            self.mend()
        else:
            self.hit_node(what, rng.choice(self.fleet.nodes), rng)
        return f"{what} {link}"

    def hit_node(self, what, node, rng):
        if what == "pause":
            node.popen.send_signal(signal.SIGSTOP)
            time.sleep(rng.random() * 2)
            node.popen.send_signal(signal.SIGCONT)
            return
        node.stop(signal.SIGKILL if what == "kill" else signal.SIGTERM)
        self.fleet.restart(node)

    def soak(self, seed):
        self.seed, self.over, self.answers, self.lock, self.version = seed, False, {}, threading.Lock(), 1
        rng, engine_rng = random.Random(seed), random.Random(f"{seed}/engines")
        self.fleet.ends_under.add(ENDING.encode())
        for i in range(3):
            self.fleet.node(f"n{i}", self.store_port)
        for node in self.fleet.nodes:
            self.fleet.wait_ready(node)
        callers = [threading.Thread(target=self.caller, args=(i,)) for i in range(CALLERS)]
        for each in callers:
            each.start()
        story = []
        for _ in range(STEPS):
            story.append(self.trouble(rng))
            if engine_rng.random() < 0.5:
                story.append(self.trouble_engine(engine_rng))
            time.sleep(rng.random() * 0.5)
        self.mend()
        for engine in self.fleet.engines:
            engine.limit = None
        self.over = True
        for each in callers:
            each.join()
        return story

    def check(self, story):
        runs = collections.Counter(identity for engine in self.fleet.engines for identity in engine.runs)
        told = f"seed {self.seed}: {story}"
        for identity, (kind, status, body) in self.answers.items():
            if kind == "call":
                self.assertLessEqual(runs[identity], 1, f"{identity} ran twice; {told}")
                if status in PROMISES_NOT_RUN:
                    self.assertEqual(runs[identity], 0, f"{identity} ran, and was called not run; {told}")
            if status != 200:
                continue
            if kind == "stream":
                events = [line[6:] for line in body.split("\n") if line.startswith("data: ")]
                self.assertEqual(events, [f"{identity}.{i}" for i in range(1, 6)], told)
            else:
                self.assertEqual(body, f"{identity}:5", told)
        self.check_orders(told)

    def check_orders(self, told):
        for engine in self.fleet.engines:
            last = None
            for at, order in engine.orders:
                if last and last[1]["holder"] != order["holder"]:
                    self.assertGreaterEqual(at - last[0], 1.0, f"two holders within the gap; {told}")
                if last:
                    self.assertGreaterEqual(order["fence"], last[1]["fence"], told)
                last = (at, order)

    def run_seed(self, seed):
        story = self.soak(seed)
        self.check(story)
        for node in self.fleet.nodes:
            harness.wait_until(lambda n=node: self.fleet.ask(n, "/call/x", f"after-{n.name}-{time.monotonic()}")[0] == 200,
                               f"{node.name} serves after the trouble; seed {seed}: {story}")
        if self.version > 1:
            harness.wait_until(lambda: all(each.version == self.version for each in self.fleet.engines
                                           if each.service == "llm" and each.state != "gone"), f"weights are brought; seed {seed}: {story}")
        served = sum(status == 200 for _, status, _ in self.answers.values())
        print(f"seed {seed}: {len(self.answers)} requests, {served} answered, {len(story)} troubles", file=sys.stderr)
        self.assertGreater(served, 0)


def add_seed(seed):
    setattr(Soak, f"test_seed_{seed}", lambda self: self.run_seed(seed))


for each_seed in SEEDS:
    add_seed(each_seed)

if __name__ == "__main__":
    harness.main()
