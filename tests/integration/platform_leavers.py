"""Callers that leave early while something else is wrong: nodes as real processes, engines of the stand-in. Counts what
was sent on after its caller had left, and what ran on more engines than its route allows."""

import random
import socket
import threading
import time

import caller_ledger
import harness
import platform_cut

MOST_LATE = 3     # requests that may all the same
FEWEST_LEFT = 20  # callers; a play in which no more leave shows nothing
MOST_OVER = 3     # requests that may run on more engines than their route allows


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
        self.ledger = caller_ledger.Ledger(self.fleet)
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
        harness.wait_until(lambda: time.monotonic() > begin + seconds and len(self.ledger.left) > FEWEST_LEFT,
                           "the play is over, and enough callers have left")
        self.stop_callers()
        end = time.monotonic() + caller_ledger.GONE_AFTER + 1
        harness.wait_until(lambda: time.monotonic() > end, "what is late has come")
        late, over = self.ledger.late(), self.ledger.over(2)
        print(f"{self.id()}: answers {dict(self.ledger.statuses)}, {len(self.ledger.left)} callers left, "
              f"{len(late)} requests came later {sorted(late.items())[:5]}, {len(over)} ran on too many engines "
              f"{sorted(over.items())[:5]}", flush=True)
        return late, over

    def check(self, seconds=3.0):
        late, over = self.play(seconds)
        self.assertGreater(len(self.ledger.left), FEWEST_LEFT)
        self.assertLessEqual(len(late), MOST_LATE, self.ledger.story(late))
        self.assertLessEqual(len(over), MOST_OVER, self.ledger.story(over))


class LeaverGroupCase(LeaverCase):
    """Callers that all leave before their request has an answer, while a node or its links do not go on."""

    LLM_ENGINES, APP_ENGINES = 4, 4
    GROUP, LEAVES_AFTER = 20, 0.15
    KINDS = ("call", "fetch", "stream")

    def ask_together(self, name, patience, more=b""):
        """A group of requests of each kind at the first node, on connections of their own."""
        calls = [threading.Thread(target=call_and_leave, args=(
            self.ledger, self.nodes[0], f"/{kind}/x", f"{name}-{kind}-{i}", patience, more,
            self.fleet.prompt() if kind == "stream" else None, f"{name}{kind}{i}".encode()))
            for kind in self.KINDS for i in range(self.GROUP)]
        for each in calls:
            each.start()
        for each in calls:
            each.join()

    def leave(self, more=b""):
        """All ask and leave; returns when the time in which their requests may still be sent is over."""
        self.ask_together("left", self.LEAVES_AFTER, more)
        self.assertGreater(len(self.ledger.left), self.GROUP)
        over = time.monotonic() + caller_ledger.GONE_AFTER + 0.2
        harness.wait_until(lambda: time.monotonic() > over, "callers have left for long")

    def warm_up(self):
        """Leaves idle connections to engines, over which a request is sent in the turn in which it is read."""
        self.ask_together("warm", 5.0)
        self.assertGreater(self.ledger.statuses[200], self.GROUP)

    def check_none_is_late(self):
        end = time.monotonic() + 2
        harness.wait_until(lambda: time.monotonic() > end, "what is late has come")
        late = self.ledger.late()
        print(f"{self.id()}: {len(self.ledger.left)} callers left, {len(late)} requests came later; "
              f"{self.counted('requests_closed_before_send_total')} read or chosen after the close, "
              f"{self.seen_to_leave()} callers seen to leave", flush=True)
        self.assertLessEqual(len(late), MOST_LATE, self.ledger.story(late))

    def counted(self, metric):
        return sum(self.metric(node, metric) for node in self.nodes)

    @staticmethod
    def metric(node, name):
        text = harness.http_call(node.metrics_port, "GET", "/metrics")[1]
        return sum(int(float(line.split(" ")[-1])) for line in text.splitlines() if line.startswith("vanilladyke_" + name))

    def seen_to_leave(self):
        return self.counted('requests_total{outcome="caller_left"}')


class PlatformLeaversUnread(LeaverGroupCase):
    def ask_and_tell_if_handed_on(self, kind):
        before = self.metric(self.nodes[0], "relayed_requests_total")
        call_and_leave(self.ledger, self.nodes[0], f"/{kind}/x", f"find-{kind}-{time.monotonic()}", 3.0,
                       prompt=self.fleet.prompt())
        return self.metric(self.nodes[0], "relayed_requests_total") > before

    def test_a_request_that_was_read_after_its_caller_had_left_is_not_sent(self):
        """A node is behind with its work, so that callers give up while their requests lie unread. The close lies behind
        the request in the same socket and is noticed after the request was sent."""
        self.warm_up()
        self.nodes[0].hold_up()
        self.leave()
        self.nodes[0].go_on()
        self.check_none_is_late()

    def test_a_request_that_was_handed_on_is_not_sent_after_its_caller_has_left(self):
        """A node without links hands requests on to nodes that are behind with their work. Its callers leave, it closes
        its connections, and the other nodes read the requests and send them on."""
        self.cut(self.nodes[:1], platform_cut.RESET)
        harness.wait_until(lambda: self.ask_and_tell_if_handed_on("call") and self.ask_and_tell_if_handed_on("stream"),
                           "the node hands requests on")
        self.warm_up()
        for node in self.nodes[1:]:
            node.hold_up()
        self.leave()
        for node in self.nodes[1:]:
            node.go_on()
        self.check_none_is_late()


class PlatformLeaversBytesBehind(LeaverGroupCase):
    def check_bytes_behind(self, more):
        """Engines take a second for each request, and callers leave before."""
        self.warm_up()
        for each in self.engines:
            each.seconds = 1.0
        self.leave(more)
        self.check_none_is_late()
        self.assertGreaterEqual(self.seen_to_leave(), self.GROUP * len(self.KINDS) - MOST_LATE)

    def test_a_caller_is_seen_to_leave_with_a_line_end_behind_its_request(self):
        """Bytes that lie behind a request hide the end of the connection, so that its work goes on for nobody."""
        self.check_bytes_behind(b"\r\n")

    def test_a_caller_is_seen_to_leave_with_its_next_request_behind_the_first(self):
        """The same with a whole request, which would be read and sent on after the first one's answer."""
        self.check_bytes_behind(b"POST /call/x HTTP/1.1\r\nHost: h.example\r\nX-Vanilladyke-Attempt-Id: behind\r\n"
                                b"Authorization: Token brand-key\r\nContent-Length: 0\r\n\r\n")
        ran = sum(engine.runs.count("behind") for engine in self.engines)
        self.assertLessEqual(ran, MOST_LATE)


class PlatformLeaversHeldLinks(LeaverGroupCase):
    def test_a_request_that_was_withdrawn_is_not_delivered_when_a_link_recovers(self):
        """Links to engines hold bytes back. Callers leave, and the node ends its tries. What is still in its sockets is
        carried on when the links recover unless the connections are reset."""
        self.warm_up()
        self.cut(self.nodes[:1], {"hold": True, "hang_new": True})
        self.leave()
        self.mend()
        self.check_none_is_late()


class PlatformLeavers(LeaverCase):
    """Mixed callers, and one trouble each; the control is the same play without it."""

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
