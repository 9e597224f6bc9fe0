"""Odd entries that another writer leaves among those of the servers, and odd answers of engines: nodes as real processes."""

import base64
import json
import re
import urllib.parse

import harness
import platform_engine
import platform_fleet
import platform_store

LEVELS = 100_000  # of nested lists; sound JSON below the most bytes of a record
DEEP = b"[" * LEVELS + b"]" * LEVELS
DEEP_OBJECT = b'{"a":' * 40_000 + b"1" + b"}" * 40_000


def entry(raw=None, **more):
    """An entry's bytes, with raw texts in place of the values of some fields."""
    fields = {"service": "odd", "address": "127.0.0.1:9", "zone": "z", "slots": 8, "state": "ready", "coldRemainingMs": 0,
              "sequence": 1, "models": [], **more}
    fields.update({name: f"@{name}@" for name in raw or {}})
    text = json.dumps(fields).encode()
    for name, value in (raw or {}).items():
        text = text.replace(f'"@{name}@"'.encode(), value)
    return text


DEEP_ENTRIES = [entry({"models": DEEP}), entry({"models": DEEP_OBJECT}), entry({"models": b'[{"name":' + DEEP + b"}]"}),
                *(entry({name: DEEP}) for name in ("zone", "slots", "service", "state", "sequence", "unknown")), DEEP,
                b"[" * 250_000]
NUMBERS = [b"1e400", b"1e300", b"-1e300", b"2147483647", b"9223372036854775807", b"18446744073709551615",
           b"18446744073709551616", b"-1", b"0", b"0.5", b"9" * 20_000]
OTHER_TYPES = [b"null", b"true", b'"x"', b"7", b"[]", b"{}", b"[1]", b'{"a":1}']
ADDRESSES = [*(f"127.0.0.1:{port}" for port in ("0", "65536", "99999", "-1", "9" * 400, "", "1e3")), "localhost:80", "[::1]:80",
             "224.0.0.1:80", "1" * 20_000, "", ":"]
FLAT_ENTRIES = [*(entry({name: value}) for name in ("service", "address", "zone", "slots", "state", "coldRemainingMs", "sequence",
                                                    "models", "version") for value in NUMBERS + OTHER_TYPES),
                *(entry(address=address) for address in ADDRESSES), *OTHER_TYPES, bytes(range(256)), b"\0" * 100,
                entry(models=[1, 2]), entry(models=[{"name": "m", "version": -5}]), entry(service="a\nevent=x"), entry({"zone": b'"\xff\xfe"'})]


ODD_KEYS = [b"", b" ", b"odd one", b"odd&after=zz", b"odd#1", b"odd%41", b"odd%", b"odd\r\nX: y", b"odd+1", "odd\u00e9".encode(),
            b"odd/../x?y=1", b"odd=", b"odd\0", b'odd"\\', b"odd\x7f", b"odd\xff\xfe", b"odd\xfe", b"k" * 255]
ODD_ITEMS = [7, None, [], {"key": "odd-a", "value": "!!", "offset": 0}, {"key": 3, "value": "", "offset": 0}, {"key": "odd-b"},
             {"key": "odd-c", "value": "", "offset": "x"}, {"value": "", "offset": 0}]


class OddStore(platform_store.Store):
    """Lists keys in the order of their bytes, which are no text, perhaps; its pages hold odd items, too."""

    raw = False  # bytes that are no text stand in the page as they are

    def on_newest(self, call, query):
        latest = {}
        with self.changed:
            for offset, record in enumerate(self.topics.get(query["topic"], [])):
                latest[record[1:1 + record[0]]] = (record[1 + record[0]:], offset)
            end = len(self.topics.get(query["topic"], []))
        after = re.search("[?&]after=([^&]*)", call.path)
        after = urllib.parse.unquote_to_bytes(after.group(1)) if after else None
        keys = sorted(key for key in latest if latest[key][0] and (after is None or key > after))
        page = [{"key": key.decode(errors="surrogateescape" if self.raw else "replace"),
                 "value": base64.b64encode(latest[key][0]).decode(), "offset": latest[key][1]} for key in keys[:self.page_items]]
        body = {"items": ODD_ITEMS + page, "hasMore": len(page) < len(keys), "end": end}
        self.answer(call, 200, json.dumps(body, ensure_ascii=False).encode(errors="surrogateescape"))


class PlatformOddEntries(platform_fleet.FleetTest):
    def write(self, values, name="odd", topic="keyed.servers"):
        for number, value in enumerate(values):
            key = f"{name}-{number}".encode()
            self.fleet.store.append(topic, bytes([len(key)]) + key + value)

    def play(self, values):
        """Two nodes start among such entries, further ones come, then a server joins and requests are served."""
        self.fleet.engine("app-1", service="app")
        self.fleet.store.page_items = 20
        self.write(values, "before")
        nodes = [self.fleet.node(f"n{i}") for i in range(2)]
        for node in nodes:
            self.fleet.wait_ready(node)
        self.write(values, "running")
        self.check_follows(nodes)

    def check_follows(self, nodes, path="fetch"):
        self.fleet.engine("zz-late", service="app")
        for node in nodes:
            harness.wait_for_node(node, lambda node=node: self.fleet.knows_all(node), "follows the list")
        for number in range(10):
            status, body, _ = self.fleet.ask(nodes[number % 2], f"/{path}/x", f"r{number}", method="GET", body=None)
            self.assertEqual(status, 200, body)
        for node in nodes:
            self.assertIsNone(node.popen.poll(), "the process has ended")

    def test_nodes_live_on_among_deeply_nested_entries(self):
        """What is copied out of JSON by one call for each level overflows the stack: all nodes end at the same entry."""
        self.play(DEEP_ENTRIES)

    def test_nodes_live_on_among_odd_numbers_addresses_and_types(self):
        """All lines of the log are text, too: harness reads them as UTF-8."""
        self.play(FLAT_ENTRIES)

    def test_nodes_live_on_among_deeply_nested_records_of_the_operator_and_of_nodes(self):
        """The same stack overflows where the configuration, announced weights, or another node's lease are read."""
        self.fleet.store.append("vanilladyke.lease", b'{"holder":"n9","incarnation":1,"attempt":1,"ordered":' + DEEP + b"}")
        sound = self.fleet.engine("llm-1")
        self.fleet.engine("app-1", service="app")
        nodes = [self.fleet.ready_node(f"n{i}") for i in range(2)]
        for name in (b"services", b"tenants", b"limits", b"routes"):
            self.fleet.store.append("keyed.op", b'\6config{"version":900,"routes":[],"' + name + b'":' + DEEP + b"}")
        self.fleet.store.append("keyed.op", b'\x09version/m{"model":"m","version":' + DEEP + b"}")
        self.fleet.name_weights(2)
        harness.wait_until(lambda: sound.version == 2, "the weights that are named next are ordered")
        self.fleet.config["routes"].append(platform_fleet.route("late", "safe", "app"))
        self.fleet.publish()
        self.check_follows(nodes, "late")

    def test_nodes_live_on_after_deeply_nested_reports_of_engines(self):
        """A rollout asks all engines for reports; one of them answers so."""
        odd, sound = OddReports("odd", "models"), self.fleet.engine("llm-1")
        self.fleet.engines.append(odd)
        self.fleet.engine("app-1", service="app")
        nodes = [self.fleet.ready_node(f"n{i}") for i in range(2)]
        self.fleet.name_weights(2)
        harness.wait_until(lambda: odd.asked >= 2 and sound.version == 2, "both were asked, and the sound one is ordered")
        self.check_follows(nodes)

    def test_no_key_of_an_entry_adds_lines_to_calls(self):
        """A call names the server that it is meant for; a key with a line end would put headers, or a call of its own, behind."""
        odd, sound = OddNames("odd\r\nInjected: 1"), self.fleet.engine("llm-1")
        self.addCleanup(odd.close)
        self.fleet.engine("app-1", service="app")
        self.fleet.store.put("keyed.servers", odd.name, odd.entry())
        nodes = [self.fleet.ready_node(f"n{i}") for i in range(2)]
        self.fleet.name_weights(2)
        harness.wait_until(lambda: sound.version == 2, "the sound one is ordered")
        self.check_follows(nodes)
        self.assertEqual(odd.calls, [])


class PlatformOddListings(platform_fleet.FleetTest):
    """Listings in small pages, in which there are odd records."""

    raw = False

    def setUp(self):
        harness.ClusterTest.setUp(self)
        store = OddStore()
        store.raw = self.raw
        self.fleet = platform_fleet.Fleet(self.cluster, store)
        self.addCleanup(self.fleet.close)

    def test_nodes_list_the_servers_behind_odd_keys(self):
        """The next page is asked for behind the last key of this one; one that garbles the call, or that JSON cannot hold, ends
        the listing of every node, which then never gets ready."""
        for key in ODD_KEYS:
            self.fleet.store.append("keyed.servers", bytes([len(key)]) + key + entry())
        self.fleet.beating = False
        first, last = (self.fleet.engine(name, service="app") for name in ("app-1", "zz-last"))
        for engine in (first, last):
            self.fleet.store.put("keyed.servers", engine.name, engine.entry())
        for size in (3, 4, 5, 7):  # other keys are the last of a page
            self.fleet.store.page_items = size
            node = self.fleet.ready_node(f"n{size}")
            self.assertNotIn("listing_page_repeated", node.log_text())


class PlatformOddRawListings(PlatformOddListings):
    raw = True


class OddNames(platform_engine.Engine):
    """Notes what it is asked."""

    def __init__(self, name):
        super().__init__(name)
        self.calls = []

    def handle(self, call):
        self.calls.append((call.path, dict(call.headers)))
        super().handle(call)


class OddReports(platform_engine.Engine):
    """Reports hold a deeply nested field."""

    def __init__(self, name, field):
        super().__init__(name)
        self.field, self.asked = field, 0

    def handle(self, call):
        if call.path != "/report":
            super().handle(call)
            return
        self.asked += 1
        call.answer(200, b'{"sequence":0,"busy":false,"' + self.field.encode() + b'":' + DEEP + b"}")


if __name__ == "__main__":
    harness.main()
