"""The users' platform on loopback, by its published protocol: the metadata store with its log, and
engines that run requests and take orders. In threads of the test, so that a test can look inside."""

import base64
import collections
import contextlib
import http.client
import json
import os
import random
import signal
import socket
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import harness

DRAIN_SECONDS = 0.4


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.open = set()

    def handle_error(self, request, client_address):
        pass  # a peer that leaves is no fault of the test

    def process_request(self, request, client_address):
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)

    def end(self):
        """As a process that crashes: what is open is reset, nobody listens any more."""
        self.socket.shutdown(socket.SHUT_RDWR)
        for each in list(self.open):
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                each.shutdown(socket.SHUT_RDWR)
                each.close()
        self.shutdown()
        self.server_close()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=None):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        self.server.owner.handle(self)

    do_POST = do_GET


class Store:
    """The log: topics with one partition, appends under a condition, reads that wait, newest of keys."""

    def __init__(self):
        self.topics = {}
        self.times = {}  # when each record was appended, by topic
        self.first = {}
        self.era = None  # as all answers name it; None: they don't
        self.changed = threading.Condition()
        self.down = False
        self.endless = False  # its answers don't end until the caller closes
        self.taken = []  # bytes of such answers that callers took
        self.calls = 0
        self.lose_answers = 0
        self.waiters = {}  # calls that wait, by topic
        self.waited = {}  # how many calls have been answered after a wait, by topic
        self.passed_over = set()  # of them, those that take no notice of a record
        self.page_items = 500
        self.busy_pages = 0  # so many later pages of a listing are refused
        self.first_pages = []  # topics whose listing was begun
        self.server = Server(("127.0.0.1", 0), Handler)
        self.server.owner = self
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def append(self, topic, record):
        with self.changed:
            self.add(topic, record)
            self.changed.notify_all()

    def add(self, topic, record):
        self.topics.setdefault(topic, []).append(record)
        self.times.setdefault(topic, []).append(time.monotonic())

    def go_back(self, seconds, away_seconds=0.4):
        """The store is away, and comes back from a copy. What the operator and the servers wrote since is written again,
        what the nodes wrote is gone."""
        with self.changed:
            self.down = True
            self.changed.notify_all()
        at = time.monotonic()
        time.sleep(away_seconds)
        with self.changed:
            for topic, records in self.topics.items():
                kept = sum(each <= at - seconds for each in self.times[topic])
                lost = records[kept:]
                del records[kept:]
                del self.times[topic][kept:]
                self.first[topic] = min(self.first.get(topic, 0), kept)
                if topic in ("keyed.op", "keyed.servers"):
                    for record in {each[1:1 + each[0]]: each for each in lost}.values():
                        self.add(topic, record)
            self.era = (self.era or 0) + 1
            self.down = False

    def answer(self, call, status, body=b"", headers=None):
        named = {} if self.era is None else {"Store-Era": str(self.era)}
        call.answer(status, body, {**(headers or {}), **named})

    def put(self, topic, key, value):
        text = b"" if value is None else json.dumps(value).encode()
        self.append(topic, bytes([len(key)]) + key.encode() + text)

    def seen(self, _topic, record):
        """The record as it is told to those who ask here."""
        return record

    def newest(self, topic):
        latest = {}
        for offset, record in enumerate(self.topics.get(topic, [])):
            length = record[0]
            key, value = record[1:1 + length].decode(), record[1 + length:]
            latest.pop(key, None)
            if value:
                latest[key] = (self.seen(topic, record)[1 + length:], offset)
        return latest

    def waiting(self, topic):
        """Calls that wait for the topic's next record."""
        with self.changed:
            return len(self.waiters.get(topic, []))

    def newest_wait(self, topic):
        """When the last call that waits now came."""
        with self.changed:
            return max(since for since, _ in self.waiters[topic])

    def pass_over(self, topic):
        """The last call that waits now takes no notice of a record before its end."""
        with self.changed:
            self.passed_over.add(max(self.waiters[topic], key=lambda waiter: waiter[0]))

    def forget(self, topic):
        """The history is dropped; only the newest record of each key is left."""
        with self.changed:
            self.first[topic] = len(self.topics.get(topic, []))

    def handle(self, call):
        self.calls += 1
        if self.down:
            call.body()
            self.answer(call, 503)
            return
        if self.endless:
            call.body()
            self.send_without_end(call)
            return
        url = urllib.parse.urlsplit(call.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        {"/log-newest": self.on_newest, "/log-read": self.on_read, "/log-append": self.on_append}[url.path](call, query)

    def send_without_end(self, call):
        sent = 0
        call.close_connection = True
        with contextlib.suppress(OSError):
            call.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while self.endless:
                sent += call.wfile.write(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        self.taken.append(sent)

    def on_newest(self, call, query):
        with self.changed:
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in self.newest(query["topic"]).items()]
            end = len(self.topics.get(query["topic"], []))
        items.sort(key=lambda item: item["key"])
        if "after" in query:
            if self.busy_pages > 0:
                self.busy_pages -= 1
                self.answer(call, 429)
                return
            items = [item for item in items if item["key"] > query["after"]]
        else:
            self.first_pages.append(query["topic"])
        page = items[:self.page_items]
        self.answer(call, 200, {"items": page, "hasMore": len(page) < len(items), "end": end})

    def on_read(self, call, query):
        topic, start = query["topic"], int(query["from"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            first = self.first.get(topic, 0)
            if start < first or start > len(self.topics.get(topic, [])):
                self.answer(call, 410, {"first": first})
                return
            era = self.era
            waiter = (time.monotonic(), object())
            self.waiters.setdefault(topic, []).append(waiter)
            while ((len(self.topics.get(topic, [])) <= start or waiter in self.passed_over)
                   and time.monotonic() < deadline and not self.down):
                self.changed.wait(max(deadline - time.monotonic(), 0.001))
            self.waiters[topic].remove(waiter)
            self.waited[topic] = self.waited.get(topic, 0) + 1
            self.passed_over.discard(waiter)
            if era != self.era or self.down:
                call.close_connection = True  # its connection did not outlive the store
                return
            records = [self.seen(topic, each) for each in self.topics.get(topic, [])[start:]]
            end = len(self.topics.get(topic, []))
        body = struct.pack(">QQ", end, self.first.get(topic, 0))
        self.answer(call, 200, body + b"".join(struct.pack(">I", len(each)) + each for each in records))

    def on_append(self, call, query):
        body = call.body()
        with self.changed:
            records = self.topics.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(records):
                self.answer(call, 412, {"end": len(records)})
                return
            offset = len(records)
            while body:
                length = struct.unpack(">I", body[:4])[0]
                self.add(query["topic"], body[4:4 + length])
                body = body[4 + length:]
            self.changed.notify_all()
            lost = self.lose_answers > 0
            self.lose_answers -= lost
        if lost:
            call.close_connection = True
            return
        self.answer(call, 200, {"offset": offset, "end": len(records)})


class StoreOfANode(Store):
    """The same records, in which the servers listen where this node alone sees them."""

    def __init__(self, store, ports):
        super().__init__()
        self.topics, self.times, self.first, self.changed = store.topics, store.times, store.first, store.changed
        self.ports = ports  # by the port of the entry: the one that this node is told

    def seen(self, topic, record):
        key, value = record[1:1 + record[0]], record[1 + record[0]:]
        if topic != "keyed.servers" or not value:
            return record
        entry = json.loads(value)
        host, port = entry["address"].rsplit(":", 1)
        entry["address"] = f"{host}:{self.ports.get(int(port), port)}"
        return bytes([len(key)]) + key + json.dumps(entry).encode()


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
        self.requests, self.runs, self.orders = [], [], []
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
        self.server = Server(("127.0.0.1", 0), Handler)
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
            self.orders.append((time.monotonic(), order))
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
            self.requests.append((time.monotonic(), dict(call.headers)))
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


def route(name, kind, service, **more):
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": 4000,
            "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2, "public": False, **more}


class StreamRead:
    """What a caller got of a stream."""

    def __init__(self):
        self.status, self.whole, self.data, self.last, self.retry_after, self.text = None, False, [], None, None, ""

    def take(self, line):
        self.text += line
        if line.startswith("id: "):
            self.last = line[4:]
        elif line.startswith("data: "):
            self.data.append(line[6:])

    def software(self):
        """Versions whose events it holds."""
        return {each.split(" ")[1] for each in self.data}


class Fleet:
    """Store, engines and nodes of one test."""

    def __init__(self, cluster, store=None):
        self.cluster, self.store, self.engines, self.nodes = cluster, store or Store(), [], []
        self.ends_under, self.ends = set(), []  # bodies that end engines; when engines ended, and which
        self.ends_on = set()  # parts of prompts that do
        self.beating = True
        self.quota = None  # what may lie above quotas, in the settings of nodes
        self.second_sends = {"ratio": 0.2, "extra": 500, "window_ms": 1000}  # in the settings of nodes
        self.config = {
            "version": 5,
            "routes": [route("call", "unsafe", "app"), route("fetch", "safe", "app"),
                       route("open", "safe", "app", public=True),
                       route("stream", "stream", "llm", sticky=True, resumable=True, gapAimMs=250)],
            "services": [{"name": "llm", "healthPath": "/health", "maxConnections": 100},
                         {"name": "app", "healthPath": "/health", "maxConnections": 100},
                         {"name": "keep", "kvStoreAddr": "127.0.0.1:9", "zone": "z"}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "brand", "apiKeys": ["brand-key", "second-key"]},
                        {"name": "walled", "apiKeys": ["walled-key"], "isolated": True}]}
        self.publish()
        threading.Thread(target=self.beat, daemon=True).start()

    def close(self):
        self.beating = False
        for each in [*self.engines, self.store]:
            each.close()

    def publish(self):
        self.config["version"] += 3
        self.store.put("keyed.op", "config", self.config)

    def name_weights(self, version):
        self.store.put("keyed.op", "version/m", {"model": "m", "version": version})

    def engine(self, name, **options):
        engine = Engine(name, ends_under=self.ends_under, ends_on=self.ends_on, ended=self.engine_ended, **options)
        self.engines.append(engine)
        return engine

    def falls(self):
        """How many engines fell over because they had to reject too many requests."""
        return sum(each.fell for each in list(self.engines))

    def engine_ended(self, engine):
        """It is back under a new id after a while; the entry of the old one lapses meanwhile."""
        self.ends.append((time.monotonic(), engine.name))
        threading.Timer(0.9, self.store.put, ("keyed.servers", engine.name, None)).start()
        threading.Timer(1.0, self.begin_anew, (engine,)).start()

    def end_for_good(self, engine):
        """It ends, and its entry goes at once."""
        engine.ended = lambda _: None
        engine.end()
        self.store.put("keyed.servers", engine.name, None)

    def begin_anew(self, ended):
        engine = self.engine(f"{ended.name}+", service=ended.service)
        for name in ("brittle", "places", "most_waiting", "memory", "seconds"):
            setattr(engine, name, getattr(ended, name))

    def arrivals(self, prefix):
        """When requests whose id begins so reached engines."""
        return sorted(at for engine in self.engines for at, fields in list(engine.requests)
                      if fields["X-Vanilladyke-Attempt-Id"].startswith(prefix))

    def beat(self):
        while self.beating:
            for engine in list(self.engines):
                if not self.store.down and engine.state != "gone":
                    self.store.put("keyed.servers", engine.name, engine.entry())
            time.sleep(0.3)

    def node(self, name, store_port=None, keys_valid_ms=2500):
        callers, ready, metrics = (harness.free_port() for _ in range(3))
        settings = {"node": name, "address": "127.0.0.1", "data_centre": "z", "callers": f"127.0.0.1:{callers}",
                    "ready": f"127.0.0.1:{ready}", "metrics": f"127.0.0.1:{metrics}",
                    "peers": f"127.0.0.1:{harness.free_port()}",
                    "questions": f"127.0.0.1:{harness.free_port()}",
                    "store": f"127.0.0.1:{store_port or self.store.port}", "keys_valid_ms": keys_valid_ms,
                    "fails_closed": True, "weights_time_ms": 15000, "order_gap_ms": 1000, "grace_ms": 8000,
                    "second_sends": self.second_sends, **({"quota": self.quota} if self.quota else {})}
        path = self.cluster.write(name + ".jsonc", settings)
        program = next(self.cluster.programs)
        node = self.cluster.start(name, [program, "node", "--settings", path])
        node.program = program
        node.name, node.port, node.ready_port, node.metrics_port, node.settings = name, callers, ready, metrics, path
        self.nodes.append(node)
        return node

    def ready_node(self, name):
        node = self.node(name)
        self.wait_ready(node)
        return node

    def wait_ready(self, node, hears_others=False):
        """Until the node is ready and knows the engines; also shares a key with the others if so asked."""
        harness.wait_for_node(node, lambda: self.is_ready(node) and self.knows_all(node), "ready")
        if hears_others:
            harness.wait_for_node(node, lambda: "event=fleet_key_known" in node.log_text(), "hears the others")

    def restart(self, node):
        """A new process of a node that has ended."""
        program = next(self.cluster.programs)
        process = self.cluster.start(node.name + f"-{random.getrandbits(24)}",
                                     [program, "node", "--settings", node.settings])
        process.program = program
        process.name, process.port, process.ready_port = node.name, node.port, node.ready_port
        process.metrics_port, process.settings = node.metrics_port, node.settings
        self.nodes[self.nodes.index(node)] = process
        return process

    @staticmethod
    def is_ready(node):
        return harness.http_call(node.ready_port, "GET", "/readiness")[0] == 200

    def knows_all(self, node):
        text = node.log_text()
        return all(f"backend={each.name} " in text for each in self.engines if each.state != "gone")

    @staticmethod
    def ask(node, path, identity, key="brand-key", headers=None, method="POST", body="hello", timeout=10):
        fields = {"Host": "h.example", "X-Vanilladyke-Attempt-Id": identity, "X-Vanilladyke-Deadline-Ms": "4000",
                  **(headers or {})}
        if key:
            fields["Authorization"] = "Token " + key
        return harness.http_call(node.port, method, path, body, fields, timeout=timeout)

    def begin_stream(self, node, identity, events, headers=None):
        """Takes so many events of a stream and closes the connection. @return the events' lines of data"""
        taken = self.read_stream(node, identity, headers, events)
        return taken.data

    def read_stream(self, node, identity, headers=None, most=None, body="hello"):
        """Reads a stream, or its first events. @return a StreamRead"""
        call = http.client.HTTPConnection("127.0.0.1", node.port, timeout=10)
        fields = {"Host": "h.example", "X-Vanilladyke-Attempt-Id": identity, "X-Vanilladyke-Deadline-Ms": "4000",
                  "Authorization": "Token brand-key", **self.prompt(), **(headers or {})}
        read = StreamRead()
        try:
            call.request("POST", "/stream/x", body, fields)
            answer = call.getresponse()
            read.status, read.retry_after = answer.status, answer.headers.get("Retry-After")
            while most is None or len(read.data) < most:
                line = answer.readline()
                if not line:
                    read.whole = True
                    break
                read.take(line.decode().rstrip("\n"))
        except (OSError, http.client.HTTPException):
            pass  # broken off: `whole` stays false
        finally:
            call.close()
        return read

    @staticmethod
    def prompt(part="5c1e07a2"):
        return {"X-Vanilladyke-Model": "m", "X-Vanilladyke-Token-Usage": "1460,80",
                "X-Vanilladyke-Prompt-Prefix": f"{part}:800,91bd3f06:660"}


class FleetTest(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(self.cluster)
        self.addCleanup(self.fleet.close)

    def start_proxy(self):
        """A proxy that breaks connections, for link() and break_link()."""
        self.control = harness.free_port()
        self.links = []
        self.cluster.start("proxy", ["/usr/bin/python3", os.path.join(os.path.dirname(__file__), "..", "standins",
                                                                      "fault_proxy.py"), "--control", str(self.control)])
        harness.wait_until(lambda: harness.http_call(self.control, "GET", "/control/state")[0] == 200, "proxy")

    def link(self, name, port):
        status, body, _ = harness.http_call(self.control, "POST", "/control/links",
                                            json.dumps({"name": name, "to": f"127.0.0.1:{port}"}))
        self.assertEqual(status, 200, body)
        self.links.append(name)
        return json.loads(body)["port"]

    def break_link(self, name, **faults):
        harness.http_call(self.control, "POST", "/control/faults", json.dumps({"link": name, **faults}))

    def mend(self):
        for name in self.links:
            harness.http_call(self.control, "POST", "/control/clear", json.dumps({"link": name}))
