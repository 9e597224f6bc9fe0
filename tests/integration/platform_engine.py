"""An engine of the users' platform on loopback, by its published protocol: runs requests, takes orders and writes its
entry."""

import collections
import json
import random
import socket
import struct
import threading
import time

import platform_http


class Engine:
    """Runs requests one at a time for each connection, keeps what ran, and takes orders of weights."""

    def __init__(self, name, service="llm", model="m", load_seconds=0.3, ends_under=(), ends_on=(),
                 ended=lambda _: None):
        self.name, self.service, self.model, self.load_seconds = name, service, model, load_seconds
        self.ends_under, self.ended = ends_under, ended  # bodies that end it, and who is told
        self.ends_on = ends_on  # parts of prompts, never the last, on which it ends
        self.version, self.busy, self.sequence, self.beats = 1, False, 0, 0
        self.state = "ready"
        self.software = None  # version of its software, as its entry and the events of its streams name it
        self.cuts, self.cut_after = 0, 2  # streams that it breaks off, and after how many of its events
        self.pace = 0.01  # seconds between two events
        self.wrote = []  # attempt and number of each event that it wrote
        self.lock = threading.Lock()
        self.requests, self.runs, self.orders = [], [], []  # the first and last: when each reached this host, and what it was
        self.seconds = 0.0  # that a request runs
        self.full = False
        self.fails = 0.0  # share of the requests that it answers with an error of its own
        self.limit = None  # requests a second that it names in its answers
        self.leaving, self.rest = False, None  # what its answers say; seconds of rest, for which it rejects
        self.rests = []  # when it asked for rest
        self.brittle = None  # rejections a second over which it falls over, as its answers say
        self.places, self.most_waiting = None, 4  # requests that run at once, and that may wait; None: any number
        self.memory = None  # tokens of the requests that run at once; None: any number
        self.running, self.used, self.queue = 0, 0, collections.deque()  # requests that run, their tokens; who waits
        self.rejections = []  # when it rejected one for want of room
        self.fell = False  # it ended because it had to reject too many
        self.free = threading.Lock()
        self.server = platform_http.Server(("127.0.0.1", 0), platform_http.Handler)
        self.server.owner = self
        self.port = self.server.server_address[1]
        self.entry_port = self.port  # where the entry says that it listens: a proxy, perhaps
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self):
        if self.state != "gone":
            self.server.shutdown()
            self.server.server_close()

    def end(self):
        with self.lock:
            if self.state == "gone":
                return
            self.state = "gone"
        self.server.end()
        self.ended(self)

    def entry(self):
        self.beats += 1
        models = [{"name": self.model, "version": self.version, "adapters": []}] if self.service == "llm" else []
        entry = {"service": self.service, "address": f"127.0.0.1:{self.entry_port}", "zone": "z", "slots": self.places or 8,
                 "state": self.state, "coldRemainingMs": 0, "models": models, "sequence": self.beats}
        return entry if self.software is None else {**entry, "version": self.software}

    def handle(self, call):
        body = call.body()
        if call.headers.get("X-Vanilladyke-Expect-Instance") not in (None, self.name):
            call.answer(421)
        elif call.path == "/report":
            call.answer(200, {"models": [{"name": self.model, "version": self.version}], "busy": self.busy,
                              "sequence": self.sequence})
        elif call.path == "/order":
            self.on_order(call, json.loads(body))
        else:
            self.on_request(call, body)

    def on_order(self, call, order):
        with self.lock:
            self.orders.append((call.received_at(), order))
            if self.busy or order["precondition"] != self.sequence:
                call.answer(409)
                return
            self.busy, self.sequence = True, self.sequence + 1

        def load():
            time.sleep(self.load_seconds)
            self.version, self.busy = order["version"], False

        threading.Thread(target=load, daemon=True).start()
        call.answer(202)

    def on_request(self, call, body):
        identity = call.headers["X-Vanilladyke-Attempt-Id"]
        common = {"X-Vanilladyke-Attempt-Id": identity, "X-Vanilladyke-Weight-Versions": str(self.version)}
        if self.limit is not None:
            common["Server-Limit"] = str(self.limit)
        if self.leaving:
            common["Server-Leaving"] = "1"
        if self.brittle is not None:
            common["Server-Brittle"] = str(self.brittle)
        with self.lock:
            self.requests.append((call.received_at(), dict(call.headers)))
        if self.places is not None:
            with self.free:
                common["X-Vanilladyke-Server-Load"] = f"{self.running},{len(self.queue)},{self.places}"
        wanted = call.headers.get("X-Vanilladyke-Expect-Version")
        if wanted and int(wanted) != self.version:
            call.answer(421, headers=common)
        elif self.rest is not None:
            call.answer(503, headers={**common, "X-Vanilladyke-Not-Executed": "1", "Retry-After": str(self.rest)})
            self.rests.append(time.monotonic())
        elif self.full or (self.busy and self.service == "llm"):
            call.answer(503, headers={**common, "X-Vanilladyke-Not-Executed": "1"})
        elif random.random() < self.fails:
            call.answer(500, b"failed", {**common, "X-Vanilladyke-Response-Stamp": "stamp-" + identity})
        elif not self.enter(self.tokens(call)):
            self.reject(call, common)
        else:
            self.run(call, body, identity, common)

    @staticmethod
    def tokens(call):
        """Tokens of the request, its prompt and what it may write."""
        return sum(int(each) for each in (call.headers.get("X-Vanilladyke-Token-Usage") or "0").split(","))

    def has_room(self, tokens):
        return self.running < self.places and (self.memory is None or self.used + tokens <= self.memory)

    def enter(self, tokens):
        """Takes a place, after a wait if there is no room. False if no more may wait."""
        if self.places is None:
            return True
        with self.free:
            if not self.queue and self.has_room(tokens):
                self.take(tokens)
                return True
            if len(self.queue) >= self.most_waiting:
                return False
            turn = (tokens, threading.Event())
            self.queue.append(turn)
        turn[1].wait()
        return True

    def take(self, tokens):
        self.running += 1
        self.used += tokens

    def leave(self, tokens):
        if self.places is not None:
            with self.free:
                self.running -= 1
                self.used -= tokens
                while self.queue and self.has_room(self.queue[0][0]):
                    waiting, turn = self.queue.popleft()
                    self.take(waiting)
                    turn.set()

    def reject(self, call, common):
        """For want of room; a brittle engine falls over if it has to do so too often."""
        now = time.monotonic()
        with self.lock:
            self.rejections.append(now)
            falls = self.brittle is not None and sum(now - at < 1 for at in self.rejections) > self.brittle
        if falls:
            self.fell = True
            self.end()
        else:
            call.answer(503, headers={**common, "X-Vanilladyke-Not-Executed": "1"})

    def run(self, call, body, identity, common):
        try:
            with self.lock:
                self.runs.append(identity)
            common["X-Vanilladyke-Response-Stamp"] = "stamp-" + identity
            parts = {each.split(":")[0] for each in
                     (call.headers.get("X-Vanilladyke-Prompt-Prefix") or "").split(",")[:-1]}
            if body in self.ends_under or parts.intersection(self.ends_on):
                time.sleep(self.seconds)
                self.begin(call, common)
                time.sleep(0.03)
                self.end()
                return
            time.sleep(self.seconds)
            if "stream" in call.path:
                self.stream(call, identity, common)
            else:
                call.answer(200, f"{identity}:{len(body)}".encode(), common)
        finally:
            self.leave(self.tokens(call))

    @staticmethod
    def begin(call, headers):
        call.send_response(200)
        for name, value in {**headers, "Transfer-Encoding": "chunked"}.items():
            call.send_header(name, value)
        call.end_headers()

    def stream(self, call, identity, headers):
        self.begin(call, headers)
        with self.lock:
            left = self.cut_after if self.cuts > 0 else None
            self.cuts -= left is not None
        for number in range(int(call.headers.get("Last-Event-Id") or 0) + 1, 6):
            if left == 0:
                call.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                call.close_connection = True
                return
            left = None if left is None else left - 1
            text = f"{identity}.{number}" + (f" {self.software}" if self.software else "")
            event = f"id: {number}\ndata: {text}\n\n".encode()
            self.wrote.append((identity, number))
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.pace)
        call.wfile.write(b"0\r\n\r\n")
