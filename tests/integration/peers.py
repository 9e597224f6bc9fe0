"""Nodes that know one address come to know each other, and notice who is gone and who is back."""

import re
import signal
import unittest

import harness


def last_word(node, peer):
    """What the node's log last said of a peer's liveness."""
    words = re.findall(rf"event=peer peer={peer} liveness=(\w+)", node.log_text())
    return words[-1] if words else None


class Peers(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.cluster.engine("copy-1")
        self.nodes = {name: self.cluster.node(name) for name in ("n1", "n2", "n3")}
        for name in self.nodes:
            self.wait_for_word(name, "alive", but=())

    def wait_for_word(self, peer, word, but):
        for name, node in self.nodes.items():
            if name != peer and name not in but:
                harness.wait_until(lambda node=node: last_word(node, peer) == word, f"{peer} {word} at {name}")

    # A host dies without a word, and later another process takes its place under the same name. As
    # long as the others count the dead one, its share of every engine is used by nobody.
    def test_a_killed_node_is_noticed_and_its_successor_is_taken_in(self):
        self.nodes["n3"].stop(signal.SIGKILL)
        self.wait_for_word("n3", "dead", but=())
        self.nodes["n3"] = self.cluster.node("n3")
        self.wait_for_word("n3", "alive", but=())

    # A process is paused for so long that the others give it up, and then goes on as if nothing had
    # happened. Callers are sent to it again, so the others have to count it again.
    def test_a_paused_node_that_wakes_is_taken_back(self):
        self.nodes["n2"].popen.send_signal(signal.SIGSTOP)
        try:
            self.wait_for_word("n2", "dead", but=())
        finally:
            self.nodes["n2"].popen.send_signal(signal.SIGCONT)
        self.wait_for_word("n2", "alive", but=())

    # A node is replaced while the others know what the engines hold. With an empty view it would send
    # the first requests of each prompt past the engine that has it.
    def test_a_new_node_takes_over_what_its_peer_knows_of_caches(self):
        for turn in range(3):
            status, body, _ = harness.chat(self.nodes["n1"].port, f"guide {turn} " * 500, 4, True)
            self.assertEqual(status, 200, body)
        newcomer = self.cluster.node("n4")
        harness.wait_until(lambda: "event=snapshot_taken section=cache_view" in newcomer.log_text(), "snapshot")


if __name__ == "__main__":
    harness.main()
