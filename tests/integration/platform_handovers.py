"""Requests that are handed on to other nodes, and the engines on which they run in all: nodes as real processes, engines of
the stand-in, which take long for each request."""

import signal
import threading
import time

import caller_ledger
import harness
import platform_cut
import platform_leavers

MOST_ENGINES = 2  # that the route allows
MOST_OVER = 3     # requests that may run on more engines all the same
CONTACT_SECONDS = 3.0


class PlatformHandOvers(platform_cut.CutCase):
    LLM_ENGINES, APP_ENGINES = 4, 4
    GROUP = 20
    KINDS = ("fetch", "stream")

    def setUp(self):
        super().setUp()
        self.ledger = caller_ledger.Ledger(self.fleet)
        for route in self.fleet.config["routes"]:
            route["targetLatencyMs"] = 100  # a further server is asked after 450 ms
        self.fleet.publish()
        version = self.fleet.config["version"]
        harness.wait_until(lambda: all(f"event=configuration version={version}" in node.log_text() for node in self.nodes),
                           "the targets are in force")
        self.ask("warm", self.nodes, 5.0)
        for each in self.engines:
            each.seconds = 2.4

    def ask(self, name, nodes, patience):
        """A group of requests of each kind, on connections of their own. @return the threads that wait for answers"""
        calls = [threading.Thread(target=platform_leavers.call_and_leave, args=(
            self.ledger, nodes[i % len(nodes)], f"/{kind}/x", f"{name}-{kind}-{i}", patience, b"",
            self.fleet.prompt(f"{i}a") if kind == "stream" else None, f"{name}{kind}{i}".encode()))
            for kind in self.KINDS for i in range(self.GROUP)]
        for each in calls:
            each.start()
        return calls

    def check(self, calls):
        for each in calls:
            each.join()
        over = self.ledger.over(MOST_ENGINES)
        asked = len(calls)
        print(f"{self.id()}: {len(over)} of {asked} on more than {MOST_ENGINES} engines, at most on "
              f"{max(over.values(), default=MOST_ENGINES)}; answers {dict(self.ledger.statuses)}", flush=True)
        for identity in sorted(over)[:2]:
            print("\n".join(self.sends_of(identity)), flush=True)
        self.assertLessEqual(len(over), MOST_OVER, over)

    def sends_of(self, identity):
        """Lines of all nodes on where the request was sent."""
        lines = [line for node in self.nodes for line in node.log_text().splitlines()
                 if f"id={identity} " in line and "event=further_run" in line]
        return sorted(lines)

    def cut_and_wait(self, faults):
        self.cut(self.nodes[:2], faults)
        harness.wait_until(lambda: time.monotonic() > self.cut_at + CONTACT_SECONDS, "the nodes know that they are cut off")

    def test_control(self):
        """No node is cut off."""
        self.check(self.ask("slow", self.nodes[:2], 4.0))

    def test_requests_that_slow_engines_hold_are_not_handed_on_for_more_engines_than_allowed(self):
        """A node without links hands requests on. The other node asks as many engines as the route allows; when these are
        silent for long, the first node counts one and hands the request to a third."""
        self.cut_and_wait(platform_cut.HANG)
        self.check(self.ask("slow", self.nodes[:2], 4.0))

    def test_requests_whose_second_node_ends_do_not_run_on_more_engines_than_allowed(self):
        """The node that was handed requests ends while engines run them; nobody else knows on how many."""
        self.cut_and_wait(platform_cut.RESET)
        calls = self.ask("slow", self.nodes[:2], 4.0)
        time.sleep(0.8)
        for node in self.nodes[2:]:
            node.stop(signal.SIGKILL)
            self.fleet.restart(node)
            time.sleep(0.7)
        self.check(calls)

    def test_requests_at_engines_whose_links_are_reset_do_not_run_on_more_engines_than_allowed(self):
        """A node loses all links while its requests run, and hands on what it may repeat."""
        calls = self.ask("slow", self.nodes[:2], 4.0)
        time.sleep(0.8)
        self.cut(self.nodes[:2], platform_cut.RESET)
        self.check(calls)


if __name__ == "__main__":
    harness.main()
