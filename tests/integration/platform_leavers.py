"""Callers that leave early while something else is wrong: nodes as real processes, engines of the stand-in. Counts what
was sent on after its caller had left, and what ran on more engines than its route allows."""

import collections
import random
import socket
import threading
import time

import harness
import platform_cut
import platform_fleet

GONE_AFTER = 0.5  # seconds after a caller's close from which its request may reach no engine
MOST_LATE = 3     # requests that may all the same
MOST_OVER = 3     # requests that may run on more engines than their route allows


class Ledger:
    """What callers did and what engines saw, by the request's id."""

    def __init__(self, fleet):
        self.fleet, self.lock = fleet, threading.Lock()
        self.left, self.statuses = {}, collections.Counter()

    def closing(self, identity):
        with self.lock:
            self.left[identity] = time.monotonic()

    def answered(self, status):
        with self.lock:
            self.statuses[status] += 1

    def late(self):
        """Requests that reached an engine after their caller had left, and how many seconds after."""
        found = {}
        for engine in list(self.fleet.engines):
            for at, fields in list(engine.requests):
                identity = fields["X-Vanilladyke-Attempt-Id"]
                if at > self.left.get(identity, at) + GONE_AFTER:
                    found[identity] = at - self.left[identity]
        return found

    def over(self, most):
        """Requests that ran on more engines than `most`, without those that have ended."""
        engines = collections.defaultdict(set)
        for engine in list(self.fleet.engines):
            if engine.state != "gone":
                for identity in list(engine.runs):
                    engines[identity].add(engine.name)
        return {identity: len(names) for identity, names in engines.items() if len(names) > most}


def call_and_leave(ledger, node, path, identity, patience, more=b"", prompt=None, body=b"hello"):
    """One request on a connection of its own, which the caller closes after `patience` seconds without an end of the
    answer. @return the status of an answer that was whole or had begun; 0 if there was none"""
    head = [f"POST {path} HTTP/1.1", "Host: h.example", f"X-Vanilladyke-Attempt-Id: {identity}",
            "X-Vanilladyke-Deadline-Ms: 4000", "Authorization: Token brand-key", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in (prompt or {}).items()]
    caller = socket.socket()
    caller.settimeout(patience)
    text, end = b"", time.monotonic() + patience
    try:
        caller.connect(("127.0.0.1", node.port))
        caller.sendall("\r\n".join([*head, "", ""]).encode() + body + more)
        while time.monotonic() < end:
            caller.settimeout(max(end - time.monotonic(), 0.001))
            got = caller.recv(65536)
            if not got:
                break
            text += got
            if is_whole(text):
                break
    except OSError:
        pass
    if not is_whole(text):
        ledger.closing(identity)
    caller.close()
    status = int(text[9:12]) if text.startswith(b"HTTP/1.1 ") else 0
    ledger.answered(status)
    return status


def is_whole(text):
    head, found, body = text.partition(b"\r\n\r\n")
    if not found:
        return False
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    return body.endswith(b"0\r\n\r\n")


class LeaverCase(platform_cut.CutCase):
    """Callers at four nodes, half of which leave after a short while."""

    CALLERS = 40
    PATIENCE = (0.05, 0.4)
    SEED = 60

    def setUp(self):
        super().setUp()
        self.ledger = Ledger(self.fleet)
        self.callers = [threading.Thread(target=self.call, args=(i,)) for i in range(self.CALLERS)]

    def node_for(self, index, _number):
        return self.nodes[index % len(self.nodes)]

    def call(self, index):
        draw, number = random.Random(f"{self.SEED}/{index}"), 0
        while not self.over:
            number += 1
            kind = ("call", "stream", "fetch")[number % 3]
            patience = draw.uniform(*self.PATIENCE) if number % 2 else 5.0
            status = call_and_leave(self.ledger, self.node_for(index, number), f"/{kind}/x", f"{kind}-{index}-{number}",
                                    patience, prompt=self.fleet.prompt(f"{index % 8}a") if kind == "stream" else None,
                                    body=f"{index}/{number}".encode())
            if status != 200:
                time.sleep(0.02)

    def play(self, seconds):
        for each in self.callers:
            each.start()
        harness.wait_until(lambda: self.ledger.statuses[200] >= 100, "callers are served")
        begin = time.monotonic()
        self.trouble()
        harness.wait_until(lambda: time.monotonic() > begin + seconds, "the play is over")
        self.stop_callers()
        end = time.monotonic() + GONE_AFTER + 1
        harness.wait_until(lambda: time.monotonic() > end, "what is late has come")
        late, over = self.ledger.late(), self.ledger.over(2)
        print(f"{self.id()}: answers {dict(self.ledger.statuses)}, {len(self.ledger.left)} callers left, "
              f"{len(late)} requests came later {sorted(late.items())[:5]}, {len(over)} ran on too many engines "
              f"{sorted(over.items())[:5]}", flush=True)
        return late, over

    def check(self, seconds=6.0):
        late, over = self.play(seconds)
        self.assertGreater(len(self.ledger.left), 20)
        self.assertLessEqual(len(late), MOST_LATE)
        self.assertLessEqual(len(over), MOST_OVER)


class PlatformLeavers(LeaverCase):
    """Each trouble for six seconds; the control is the same play without it."""

    LLM_ENGINES, APP_ENGINES = 4, 4

    def trouble(self):
        pass

    def test_control(self):
        self.check()

    def test_links_that_hang(self):
        self.trouble = lambda: self.cut(self.nodes[:3], platform_cut.HANG)
        self.check()

    def test_links_that_hold_bytes_back_and_recover(self):
        def hold():
            self.cut(self.nodes[:3], {"hold": True, "hang_new": True})
            time.sleep(3.0)
            self.mend()
        self.trouble = hold
        self.check()

    def test_links_that_are_reset(self):
        self.trouble = lambda: self.cut(self.nodes[:3], platform_cut.RESET)
        self.check()

    def test_new_links_that_are_refused(self):
        self.trouble = lambda: self.cut(self.nodes[:2], platform_cut.NEW_REFUSED)
        self.check()

    def test_a_node_that_is_held_up(self):
        def hold():
            for node in self.nodes:
                node.hold_up()
                time.sleep(1.2)
                node.go_on()
        self.trouble = hold
        self.check()

    def test_engines_that_are_full(self):
        def fill():
            for each in self.engines:
                each.places, each.most_waiting, each.seconds = 2, 2, 0.1
        self.trouble = fill
        self.check()

    def test_engines_that_rest(self):
        def rest():
            for each in self.engines[1::2]:
                each.rest = 2
        self.trouble = rest
        self.check()

    def test_engines_that_are_silent_for_a_while(self):
        def silence():
            for each in self.engines:
                each.seconds = 1.0
        self.trouble = silence
        self.check()

    def test_engines_that_end(self):
        def end():
            for each in self.engines[::3]:
                each.end()
                time.sleep(0.5)
        self.trouble = end
        self.check()

    def test_a_store_that_comes_back_older(self):
        self.trouble = lambda: self.fleet.store.go_back(2.0)
        self.check()


class PlatformLeaversCrowd(LeaverCase):
    """All callers at one node."""

    LLM_ENGINES, APP_ENGINES, CALLERS = 4, 4, 120

    def node_for(self, index, number):
        return self.nodes[0] if self.crowded else super().node_for(index, number)

    crowded = False

    def trouble(self):
        self.crowded = True

    def test_a_crowd_at_one_node(self):
        self.check()


if __name__ == "__main__":
    harness.main()
