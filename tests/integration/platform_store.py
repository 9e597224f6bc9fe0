"""The platform's metadata store on loopback, by its published protocol: topics of records, and reads that wait for the
next one."""

import base64
import contextlib
import json
import struct
import threading
import time
import urllib.parse

import platform_http


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
        self.server = platform_http.Server(("127.0.0.1", 0), platform_http.Handler)
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

    def forget(self, topic):
        """The records that the topic holds are deleted; offsets go on."""
        with self.changed:
            self.first[topic] = len(self.topics[topic])

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
