"""Servers in trouble, whose bytes are no answer: nodes as real processes before raw servers."""

import contextlib
import random
import socket
import struct
import threading
import time

import harness
import platform_endless
import platform_fleet

KEYS_VALID_MS = 5000
BODY_BYTES = 3 << 20  # more than the buffers of a connection hold
HEAD = "HTTP/1.1 {status} X\r\nX-Vanilladyke-Attempt-Id: {id}\r\nX-Vanilladyke-Response-Stamp: s\r\n"
EVENT = "id: 1\ndata: broken\n\n"
INNER = HEAD.format(status=200, id="{id}") + "Content-Length: 6\r\n\r\nbroken"  # a body that reads like an answer
TOGETHER = 4
ROUTES = (("/call/x", "app"), ("/fetch/x", "app"), ("/stream/x", "llm"))


class BrokenServer(platform_endless.EndlessServer):
    """Reads the head of a request and sends bytes, then ends the connection."""

    def __init__(self, name, service, answer, ending="close"):
        self.answer, self.ending = answer, ending
        super().__init__(name, service)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

    def send(self, connection, identity):
        with contextlib.suppress(OSError):
            connection.sendall(self.answer.replace("{id}", identity).encode("latin-1"))
            if self.ending == "reset":
                time.sleep(0.02)  # the node has read it by then, or reads it later: both are played
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
        with self.lock:
            self.open -= 1
            self.taken.append(0)


class PlatformBrokenAnswers(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.fleet.config["limits"]["maxBodyBytes"] = 4 << 20
        self.fleet.publish()
        for name in ("llm", "app"):
            self.fleet.engine(f"{name}-0", service=name)
        self.node = self.fleet.node("n0", keys_valid_ms=KEYS_VALID_MS)
        self.fleet.wait_ready(self.node)

    def broken(self, service, answer, ending="close"):
        server = BrokenServer(f"broken-{len(self.fleet.engines)}", service, answer, ending)
        self.fleet.engines.append(server)
        self.addCleanup(server.close)
        harness.wait_until(lambda: f"backend={server.name} " in self.node.log_text(), "the node knows it")
        return server

    def leave(self, server):
        server.state = "draining"
        harness.wait_until(lambda: f"backend={server.name} draining=true" in self.node.log_text(), "it has left")

    def ask(self, path, identity, body, answers):
        """Puts status, body and headers among the answers; status 0 if the answer is not whole."""
        headers = self.fleet.prompt(f"{random.getrandbits(32):08x}") if "stream" in path else None
        try:
            answers[identity] = self.fleet.ask(self.node, path, identity, headers=headers, body=body)
        except (OSError, harness.http.client.HTTPException):
            answers[identity] = 0, "", {}

    def ask_together(self, path, prefix, body):
        """Servers with equal load are asked in turn. @return the answers by id"""
        answers = {}
        callers = [threading.Thread(target=self.ask, args=(path, f"{prefix}-{number}", body, answers))
                   for number in range(TOGETHER)]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
        return answers

    def play(self, path, service, answer, ending="close", body="hello"):
        """Asks until the server was asked. No caller may get its bytes, nor a failure with its stamp."""
        server, isStream = self.broken(service, answer, ending), "stream" in path
        for turn in range(20):
            for identity, (status, text, headers) in self.ask_together(path, f"ask-{server.port}-{turn}", body).items():
                what = f"{path} {status} {text}: {answer!r}"
                isResumed = isStream and text.startswith(EVENT + "id: 2\n")  # begun there, whole from another one
                self.assertTrue(isResumed or "broken" not in text, what)
                self.assertIn(status, (0, 200, 502), what)
                if status == 200:
                    expected = f"data: {identity}.5\n\n" if isStream else f"{identity}:{len(body)}"
                    self.assertTrue(text.endswith(expected), what)
                else:
                    self.assertNotIn("X-Vanilladyke-Response-Stamp", headers, what)
            if server.requests:
                break
        self.assertTrue(server.requests, f"the server was asked: {path} {answer!r}")
        self.leave(server)

    def test_a_reset_in_the_middle_of_an_upload(self):
        """A server answers a long upload at once, without a length, and resets its connection before the answer and the
        upload end. The part that came would pass for the whole."""
        for path, service in ROUTES:
            part = EVENT if "stream" in path else "broken"
            for status in (200, 500):
                for ending in ("reset", "close"):
                    self.play(path, service, HEAD.replace("{status}", str(status)) + "\r\n" + part, ending,
                              body="u" * BODY_BYTES)

    def test_a_status_that_is_none(self):
        """A server in trouble sends the status 000. Read as one that promises a further answer, its body is taken for
        that answer."""
        for path, service in ROUTES:
            for status in ("000", "999"):
                head = HEAD.replace("{status}", status) + f"Content-Length: {len(INNER) + 12}\r\n\r\n"
                self.play(path, service, head + INNER)

    def test_a_name_that_is_none(self):
        """The name of a field begins with a blank or holds one, or a control byte. A line that begins with a blank would
        continue the one before, and a length in it would be lost."""
        for path, service in ROUTES:
            for line in (" Content-Length: 6", "\tA: b", "A B: c", "A\x01: b"):
                self.play(path, service, HEAD.replace("{status}", "200") + line + "\r\n\r\nbroken")


if __name__ == "__main__":
    harness.main()
