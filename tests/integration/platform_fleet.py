"""Nodes as real processes before the stand-ins of the platform's store and engines. The stand-ins run in threads of the
test, so that a test can look inside."""

import http.client
import json
import os
import random
import threading
import time

import harness
import platform_engine
import platform_store


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
        self.cluster, self.store, self.engines, self.nodes = cluster, store or platform_store.Store(), [], []
        self.ends_under, self.ends = set(), []  # bodies that end engines; when engines ended, and which
        self.ends_on = set()  # parts of prompts that do
        self.beating = True
        self.quota = None  # what may lie above quotas, in the settings of nodes
        self.order_gap_ms = 1000  # in the settings of nodes
        self.first_start = False  # the nodes that are started now are the fleet's first
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

    def engine(self, name, software=None, **options):
        engine = platform_engine.Engine(name, ends_under=self.ends_under, ends_on=self.ends_on, ended=self.engine_ended,
                                        **options)
        engine.software = software  # before its first entry is written
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

    def node(self, name, store_port=None, keys_valid_ms=2500, memory_mb=None):
        callers, ready, metrics = (harness.free_port() for _ in range(3))
        settings = {"node": name, "address": "127.0.0.1", "data_centre": "z", "callers": f"127.0.0.1:{callers}",
                    "ready": f"127.0.0.1:{ready}", "metrics": f"127.0.0.1:{metrics}",
                    "peers": f"127.0.0.1:{harness.free_port()}",
                    "questions": f"127.0.0.1:{harness.free_port()}",
                    "store": f"127.0.0.1:{store_port or self.store.port}", "keys_valid_ms": keys_valid_ms,
                    "fails_closed": True, "weights_time_ms": 15000, "order_gap_ms": self.order_gap_ms, "grace_ms": 8000,
                    "second_sends": self.second_sends, "first_start": self.first_start,
                    **({"quota": self.quota} if self.quota else {}),
                    **({"memory_mb": memory_mb} if memory_mb else {})}
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
        with open(node.settings, encoding="utf-8") as file:
            settings = json.load(file)
        with open(node.settings, "w", encoding="utf-8") as file:
            json.dump({**settings, "first_start": False}, file)
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

    def log_lines(self, identity):
        """What the nodes logged of a request."""
        return [line for node in self.nodes for line in node.log_text().splitlines() if f" id={identity} " in line]

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
