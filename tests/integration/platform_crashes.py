"""Requests that end the engines that run them: nodes as real processes, engines of the stand-in."""

import json
import re
import signal
import threading
import time

import harness
import platform_fleet

KILLER = "end of the engine"
CONTACT_SECONDS = 3.0  # within which nodes in touch know what the others know
FREE_REPEATS = 3       # that may still reach engines after that
ENGINES = 6


class PlatformCrashes(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        for i in range(ENGINES):
            self.fleet.engine(f"llm-{i}")
        self.nodes = [self.fleet.ready_node(f"n{i}") for i in range(3)]
        for node in self.nodes:
            self.fleet.wait_ready(node, hears_others=True)

    def ask_quietly(self, node, identity, body, headers):
        """@return status, None where the connection ended early."""
        try:
            return self.fleet.ask(node, "/stream/x", identity, headers=headers, body=body)
        except Exception:  # noqa: BLE001: an answer that breaks off promises nothing
            return None, "", {}

    def send_killers(self, seconds):
        """Copies of one request at every node in turn, each under an id of its own. @return the answers"""
        self.fleet.ends_under.add(KILLER.encode())
        answers, threads = [], []

        def send(number):
            node = self.nodes[number % len(self.nodes)]
            answers.append(self.ask_quietly(node, f"killer-{number}", KILLER, self.fleet.prompt()))

        end, number = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            threads.append(threading.Thread(target=send, args=(number,)))
            threads[-1].start()
            number += 1
            time.sleep(0.1)
        for each in threads:
            each.join()
        return answers

    def repeats_after_contact(self):
        """Sends that reached engines later than the contact time after the third engine had ended."""
        self.assertGreaterEqual(len(self.fleet.ends), 1, "no engine ended")
        if len(self.fleet.ends) < 3:
            return 0
        allowed_until = sorted(self.fleet.ends)[2][0] + CONTACT_SECONDS
        return sum(at > allowed_until for at in self.fleet.arrivals("killer-"))

    def test_a_request_that_ends_engines_is_not_sent_on_and_on(self):
        """Copies of a request that ends every engine reach all nodes; each node would send each of them to
        two engines, and nobody is served while the engines start again and again."""
        self.send_killers(9.0)
        self.assertLessEqual(self.repeats_after_contact(), FREE_REPEATS,
                             f"{len(self.fleet.ends)} engines ended")

    def is_held(self, node, identity):
        """Asks once more. @return whether the node refuses it, truthfully and for long"""
        status, body, headers = self.ask_quietly(node, identity, KILLER, self.fleet.prompt())
        if status != 503 or json.loads(body)["error"] != "ends_engines":
            return False
        self.assertEqual(json.loads(body)["ran"], "no")
        self.assertGreater(float(headers["Retry-After"]), 60)
        self.assertEqual(self.fleet.arrivals(identity), [])
        return True

    def test_a_held_request_is_refused_by_all_nodes_until_it_is_freed(self):
        """Nodes that saw no end, or start later, go by what others tell; other requests of the same caller
        are served; an operator lets a request go that was held wrongly."""
        self.send_killers(1.5)
        for node in self.nodes:
            harness.wait_until(lambda n=node: self.is_held(n, f"held-{time.monotonic()}"), "held everywhere")
        ends = len(self.fleet.ends)
        late = self.fleet.ready_node("late")
        self.fleet.wait_ready(late, hears_others=True)
        harness.wait_until(lambda: "event=request_quarantined" in late.log_text(), "a new node is told")
        self.assertTrue(self.is_held(late, "held-late"))
        self.assertEqual(len(self.fleet.ends), ends)
        harness.wait_until(lambda: self.ask_quietly(late, f"other-{time.monotonic()}", "other",
                                                    self.fleet.prompt())[0] == 200, "other requests are served")
        self.fleet.ends_under.clear()
        digest = re.search(r"event=request_quarantined digest=([0-9a-f]{32})", late.log_text()).group(1)
        with open(late.settings, encoding="utf-8") as settings:
            changed = {**json.load(settings), "freed_requests": [digest]}
        with open(late.settings, "w", encoding="utf-8") as settings:
            json.dump(changed, settings)
        late.popen.send_signal(signal.SIGHUP)
        harness.wait_until(lambda: self.ask_quietly(late, f"freed-{time.monotonic()}", KILLER,
                                                    self.fleet.prompt())[0] == 200, "it is let go")
        harness.wait_until(lambda: self.ask_quietly(self.nodes[0], f"cleared-{time.monotonic()}", KILLER,
                                                    self.fleet.prompt())[0] == 200, "a whole answer clears it")


if __name__ == "__main__":
    harness.main()
