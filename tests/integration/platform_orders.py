"""Orders of new weights while nodes and links fail: which node's orders reach an engine, and when. Nodes as real processes,
store and engines of the stand-in."""

import time

import harness
import platform_fleet
import platform_store

NODES = 3


class PlatformOrdersOnTheirWay(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.start_proxy()
        self.engine = self.fleet.engine("llm-0", load_seconds=600)
        for i in range(NODES):
            store = platform_store.StoreOfANode(self.fleet.store, {self.engine.port: self.link(f"n{i}", self.engine.port)})
            self.addCleanup(store.close)
            self.fleet.node(f"n{i}", store_port=store.port)
        for node in self.fleet.nodes:
            self.fleet.wait_ready(node, hears_others=True)

    def test_an_order_that_was_given_up_does_not_arrive_after_another_holders(self):
        """A link holds an order back, its sender gives it up, another node takes over, and the link heals. The kernel
        delivers what a connection that was closed in order still holds, with the lower fence."""
        for node in self.fleet.nodes:
            self.break_link(node.name, hold_on="POST /order")
        self.fleet.name_weights(2)
        senders = []

        def has_sent():
            senders.extend(node for node in self.fleet.nodes if "event=weights_order " in node.log_text())
            return senders

        harness.wait_until(has_sent, "an order is on its way")
        for node in self.fleet.nodes:
            if node is not senders[0]:
                self.break_link(node.name, hold_on=None)
        harness.wait_until(lambda: self.engine.orders, "another node has ordered")
        time.sleep(0.5)
        self.break_link(senders[0].name, hold_on=None)
        time.sleep(1.0)
        holders = [order["holder"].split("@")[0] for _, order in list(self.engine.orders)]
        self.assertNotIn(senders[0].name, holders, self.engine.orders)


if __name__ == "__main__":
    harness.main()
