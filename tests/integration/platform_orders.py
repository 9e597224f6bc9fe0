"""Orders of new weights while nodes and links fail: which node's orders reach an engine, and when. Nodes as real processes,
store and engines of the stand-in."""

import json
import os
import signal
import sys
import time

import harness
import platform_fleet
import platform_store

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import segment_filter  # noqa: E402: the path is set above

NODES = 3
ORDER_GAP_SECONDS = 6.0


class PlatformOrdersOnTheirWay(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.start_proxy()
        self.engine = self.fleet.engine("llm-0", load_seconds=600)
        self.link_ports = {}
        for i in range(NODES):
            self.link_ports[f"n{i}"] = self.link(f"n{i}", self.engine.port)
            store = platform_store.StoreOfANode(self.fleet.store, {self.engine.port: self.link_ports[f"n{i}"]})
            self.addCleanup(store.close)
            self.fleet.node(f"n{i}", store_port=store.port)
        for node in self.fleet.nodes:
            self.fleet.wait_ready(node, hears_others=True)

    def test_an_order_that_was_given_up_does_not_arrive_after_another_holders(self):
        """A link holds an order back, its sender gives it up, another node takes over, and the link heals. The kernel
        delivers what a connection that was closed in order still holds, with the lower fence."""
        sender = self.let_an_order_be_held_up("hold_on")
        self.let_another_node_order(sender, "hold_on")
        time.sleep(0.5)
        self.break_link(sender.name, hold_on=None)
        time.sleep(1.0)
        self.assertNotIn(sender.name, self.holders(), self.engine.orders)

    def test_an_order_of_a_node_that_stands_still_does_not_arrive_after_another_holders(self):
        """A link is cut while an order is on its way, and its sender stands still until the link has healed, so that it
        gives nothing up. Its kernel sends the order again."""
        sender = self.let_an_order_be_held_up("drop_on")
        sender.hold_up()
        self.addCleanup(sender.go_on)
        self.let_another_node_order(sender, "drop_on")
        self.break_link(sender.name, drop_on=None)
        harness.wait_until(lambda: segment_filter.bytes_on_their_way(self.link_ports[sender.name]) == 0,
                           "the sender's kernel holds nothing more")
        self.assertNotIn(sender.name, self.holders(), self.engine.orders)

    def let_an_order_be_held_up(self, fault):
        """New weights are named, and a node sends an order that its link holds up. @return the node"""
        for node in self.fleet.nodes:
            self.break_link(node.name, **{fault: "POST /order"})
        self.fleet.name_weights(2)
        senders = []

        def has_sent():
            senders.extend(node for node in self.fleet.nodes if "event=weights_order " in node.log_text())
            return senders

        harness.wait_until(has_sent, "an order is on its way")
        return senders[0]

    def let_another_node_order(self, sender, fault):
        for node in self.fleet.nodes:
            if node is not sender:
                self.break_link(node.name, **{fault: None})
        harness.wait_until(lambda: self.engine.orders, "another node has ordered")

    def holders(self):
        return [order["holder"].split("@")[0] for _, order in list(self.engine.orders)]


class PlatformOrdersOfNodesStoppedInTurn(platform_fleet.FleetTest):
    ENGINES = 3

    def setUp(self):
        super().setUp()
        self.fleet.order_gap_ms = int(ORDER_GAP_SECONDS * 1000)
        self.engines = [self.fleet.engine(f"llm-{i}", load_seconds=0.6) for i in range(self.ENGINES)]
        for i in range(NODES):
            self.fleet.node(f"n{i}")
        for node in self.fleet.nodes:
            self.fleet.wait_ready(node, hears_others=True)

    def holder(self):
        """The node that has the lease by the last record of its log; none after a release."""
        records = self.fleet.store.topics.get("vanilladyke.lease", [])
        record = json.loads(records[-1]) if records else {"release": True}
        name = None if record["release"] else record["holder"].split("@")[0]
        return next((node for node in self.fleet.nodes if node.name == name), None)

    def let_one_node_order_all(self):
        """@return the node that has ordered all engines"""
        self.fleet.name_weights(2)
        harness.wait_until(lambda: all(each.orders for each in self.engines), "all engines were ordered")
        name = self.engines[0].orders[-1][1]["holder"].split("@")[0]
        return next(node for node in self.fleet.nodes if node.name == name)

    def play(self, end_second):
        """One node orders all engines and stops, newer weights are named, and the next holder ends in the given way."""
        first = self.let_one_node_order_all()
        first.popen.send_signal(signal.SIGTERM)
        self.fleet.name_weights(3)
        harness.wait_until(lambda: self.holder() not in (None, first), "another node has the lease")
        end_second(self.holder())
        self.check_holders_kept_apart()

    def check_holders_kept_apart(self):
        harness.wait_until(lambda: all(each.version == 3 for each in self.engines), "the weights are in place")
        for each in self.engines:
            orders = list(each.orders)
            for (at, order), (later, following) in zip(orders, orders[1:]):
                if order["holder"] != following["holder"]:
                    self.assertGreaterEqual(later - at, ORDER_GAP_SECONDS, (each.name, orders))

    def test_no_two_holders_order_an_engine_within_the_gap_while_nodes_are_stopped_in_turn(self):
        """The second holder stops before it orders. Its record is the last one, and has to name the first one's engines."""
        self.play(lambda node: node.popen.send_signal(signal.SIGTERM))

    def test_no_two_holders_order_an_engine_within_the_gap_after_a_kill(self):
        """The second holder is killed after its claim. Its new process knows only what the claim says."""
        def kill(node):
            node.stop(signal.SIGKILL)
            self.fleet.restart(node)

        self.play(kill)

    def test_no_two_holders_order_an_engine_within_the_gap_though_the_last_record_cannot_be_read(self):
        """Another build wrote it. A node that takes the log for empty claims the lease and orders at once."""
        first = self.let_one_node_order_all()
        first.stop(signal.SIGKILL)
        self.fleet.store.append("vanilladyke.lease", b"not a record of this build")
        self.fleet.name_weights(3)
        self.check_holders_kept_apart()

    def test_no_two_holders_order_an_engine_within_the_gap_though_the_lease_was_deleted(self):
        """The store drops its history while a node has the lease, and the other nodes start again: the log is empty."""
        first = self.let_one_node_order_all()
        for node in list(self.fleet.nodes):
            node.stop(signal.SIGKILL)
        self.fleet.store.forget("vanilladyke.lease")
        self.fleet.name_weights(3)
        for node in list(self.fleet.nodes):
            if node is not first:
                self.fleet.restart(node)
        self.check_holders_kept_apart()


if __name__ == "__main__":
    harness.main()
