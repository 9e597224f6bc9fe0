"""Nodes that are partitioned from all servers while callers, the store and other nodes still reach them:
nodes as real processes, each with links of its own to the servers."""

import threading
import time

import harness
import platform_fleet
import platform_store

CONTACT_SECONDS = 3.0  # from the cut until callers of all nodes have to be served alike
OBSERVED_SECONDS = 2.0
NODES = 4

HANG = {"freeze": True, "hang_new": True}
RESET = {"break_open": True, "refuse": True}
NEW_REFUSED = {"refuse": True}  # what is open lives on


class CutCase(platform_fleet.FleetTest):
    """Nodes of which each has links of its own to the engines."""

    LLM_ENGINES, APP_ENGINES = 3, 2

    def setUp(self):
        super().setUp()
        self.start_proxy()
        self.engines = [self.fleet.engine(f"llm-{i}") for i in range(self.LLM_ENGINES)]
        self.engines += [self.fleet.engine(f"app-{i}", service="app") for i in range(self.APP_ENGINES)]
        self.nodes = [self.node(f"n{i}") for i in range(NODES)]
        for node in self.nodes:
            self.fleet.wait_ready(node, hears_others=True)
        self.over, self.callers = False, []
        self.addCleanup(self.stop_callers)

    def node(self, name):
        ports = {engine.port: self.link(f"{name}/{engine.name}", engine.port) for engine in self.engines}
        store = platform_store.StoreOfANode(self.fleet.store, ports)
        self.addCleanup(store.close)
        return self.fleet.node(name, store_port=store.port, keys_valid_ms=5000)

    def cut(self, nodes, faults):
        for node in nodes:
            for engine in self.engines:
                self.break_link(f"{node.name}/{engine.name}", **faults)
        self.cut_at = time.monotonic()

    def stop_callers(self):
        self.over = True
        for each in self.callers:
            if each.ident:
                each.join()


class PlatformCut(CutCase):
    def setUp(self):
        super().setUp()
        self.lock, self.answers = threading.Lock(), []
        self.callers = [threading.Thread(target=self.call, args=(i,)) for i in range(2 * NODES)]

    def call(self, index):
        node = self.nodes[index % NODES]
        number = 0
        while not self.over:
            number += 1
            kind = ("call", "stream", "fetch")[number % 3]
            identity = f"{kind}-{index}-{number}"
            sent_at = time.monotonic()
            try:
                status, body, _ = self.fleet.ask(node, f"/{kind}/x", identity, timeout=6,
                                                 headers=self.fleet.prompt() if kind == "stream" else None)
            except Exception:  # noqa: BLE001: a connection that ends early promises nothing
                status, body = 0, ""
            with self.lock:
                self.answers.append((sent_at, node, kind, identity, status, body))
            time.sleep(0.01)

    def observe(self):
        """Serves callers through the cut. Returns the shares served at the first attempt in the time
        observed: at the nodes that are cut off and at the others."""
        end = self.cut_at + CONTACT_SECONDS + OBSERVED_SECONDS
        harness.wait_until(lambda: time.monotonic() > end, "the time observed is over")
        self.stop_callers()
        start = self.cut_at + CONTACT_SECONDS
        seen = [(node in self.away, status == 200) for at, node, _, _, status, _ in self.answers if start <= at <= end]
        shares = []
        for away in (True, False):
            served = [is_served for is_away, is_served in seen if is_away == away]
            self.assertGreater(len(served), 0)
            shares.append(sum(served) / len(served))
        return shares

    def check_cut(self, count, faults):
        self.away = self.nodes[:count]
        for each in self.callers:
            each.start()
        harness.wait_until(lambda: len(self.answers) >= 10 * NODES, "callers are served")
        self.cut(self.away, faults)
        at_cut_nodes, at_others = self.observe()
        self.check_promises()
        self.assertGreater(at_others, 0.9)
        self.assertGreaterEqual(at_cut_nodes, at_others * 2 / 3)

    def check_promises(self):
        """Nothing ran twice, no refusal of what ran, every stream whole."""
        runs = {engine.name: list(engine.runs) for engine in self.engines}
        ran = [identity for each in runs.values() for identity in each]
        for _, _, kind, identity, status, body in self.answers:
            if kind == "call":
                self.assertLessEqual(ran.count(identity), 1, identity)
                self.assertFalse(status in (408, 421, 429, 503) and identity in ran, identity)
            if kind == "stream" and status == 200:
                self.assertEqual(body.count("data: "), 5, body)

    def test_callers_of_nodes_whose_links_hang_are_served_by_other_nodes(self):
        """Three of four nodes lose all servers: what they send is neither answered nor refused. Callers stay
        with them, since the balancer goes on with a data centre of which most nodes are out."""
        self.check_cut(3, HANG)

    def test_callers_of_nodes_whose_links_are_reset_are_served_by_other_nodes(self):
        """The same, with connections that are reset and refused."""
        self.check_cut(3, RESET)

    def test_callers_of_nodes_that_get_no_new_connections_are_served(self):
        """Open connections to servers live on, new ones are refused."""
        self.check_cut(2, NEW_REFUSED)


if __name__ == "__main__":
    harness.main()
