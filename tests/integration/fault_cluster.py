"""What the fault matrix and the bookings soak run: processes behind a proxy, and callers who keep at it."""

import contextlib
import http.client
import json
import os
import signal
import threading
import time

import harness

NODES, ENGINES = ("n1", "n2", "n3"), ("e1", "e2", "e3")
TOKENS = 40
STREAM_SECONDS, BOOKING_SECONDS, ATTEMPT_SECONDS = 15.0, 9.0, 3.0


class Cluster(harness.Cluster):
    """Three nodes, three engines, a service and the log; the proxy stands on every connection."""

    def __init__(self, build):
        super().__init__(build)
        self.proxy_control = harness.free_port()
        here = os.path.dirname(os.path.abspath(__file__))
        self.start("proxy", ["/usr/bin/python3", os.path.join(here, "..", "standins", "fault_proxy.py"),
                             "--control", str(self.proxy_control)])
        harness.wait_until(lambda: self.proxy_state() is not None, "proxy up")
        self.bundle["limits"] = {"stream_silence_ms": 400, "service_deadline_ms": 3000}
        for name in ENGINES:
            self.engine(name, "--step-ms", "10")
            self.bundle["engines"][-1]["endpoint"] = f"127.0.0.1:{self.link(name, self.engines[name])}"
        self.booking = self.service("booking")
        self.bundle["services"][0]["backends"] = [f"127.0.0.1:{self.link('booking', self.booking.port)}"]
        self.log = self.platform()
        self.settings, self.running, self.callers, self.operators = {}, {}, {}, {}
        for name in NODES:
            log_link = self.link("log-" + name, self.log_port)
            self.running[name] = self.node(name, platform={"log": f"127.0.0.1:{log_link}"})
            self.callers[name] = self.link("caller-" + name, self.running[name].port)
        self.links = list(self.proxy_state())
        self.ending = {}  # nodes that were killed or told to stop, and by which signal

    def order(self, path, value):
        status, body, _ = harness.http_call(self.proxy_control, "POST", path, json.dumps(value))
        assert status == 200, body
        return json.loads(body)

    def link(self, name, port):
        return self.order("/control/links", {"name": name, "to": f"127.0.0.1:{port}"})["port"]

    def proxy_state(self):
        return json.loads(harness.http_call(self.proxy_control, "GET", "/control/state")[1])["links"]

    def break_links(self, kind, **kinds):
        for link in self.links:
            if link.startswith(kind):
                self.order("/control/faults", {"link": link, **kinds})

    def engine_runs(self):
        """What the engines ran; one that is down for a moment is waited for."""
        runs = []
        for name, port in self.engines.items():
            harness.wait_until(lambda port=port: harness.runs(port) is not None, name + " up")
            runs += [{"engine": name, **run} for run in harness.runs(port)]
        return runs

    def restart(self, name):
        """Starts a node again under the same settings once it has ended."""
        before = self.running[name].log_text().count("event=engine_up")
        process = self.start(name, [next(self.programs), "serve", "--settings", self.path(name + ".jsonc")])
        old = self.running[name]
        process.port, process.operators = old.port, old.operators
        self.running[name] = process
        harness.wait_until(lambda: harness.http_call(process.port, "GET", "/readyz")[0] == 200, name + " ready")
        harness.wait_until(lambda: process.log_text().count("event=engine_up") >= before + len(ENGINES),
                           name + " knows the engines")

    def heal(self):
        """Ends every fault, so that the next cell starts from a sound cluster."""
        self.log.faults(outage="none", slow_ms=0, lose_answers=0)
        self.booking.faults(slow_ms=0, lose_answers=0)
        self.engine_runs()
        for port in self.engines.values():
            harness.faults(port, freeze_ms=0, slow=1.0, cross=0, stray=0)
        for link in self.links:
            self.order("/control/clear", {"link": link})
        for name, process in self.running.items():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
            if name in self.ending or process.popen.poll() is not None:
                process.popen.wait(harness.WAIT_SECONDS)
                self.restart(name)
        self.ending.clear()

    def stop_node(self, name, how):
        process = self.running[name]
        self.ending[name] = max(how, self.ending.get(name, how), key=lambda each: each == signal.SIGKILL)
        if process.popen.poll() is None:
            process.popen.send_signal(how)

    def badly_stopped(self):
        """Nodes whose planned stop did not end with 0."""
        return [name for name, how in self.ending.items() if how == signal.SIGTERM
                and self.running[name].popen.wait(harness.WAIT_SECONDS) != 0]

    def pause_node(self, name, seconds):
        process = self.running[name]
        process.popen.send_signal(signal.SIGSTOP)
        threading.Timer(seconds, lambda: process.popen.poll() is None
                        and process.popen.send_signal(signal.SIGCONT)).start()


class StreamCaller(threading.Thread):
    """Asks for one answer, and comes back with the last event id when its connection breaks."""

    kind = "stream"

    def __init__(self, cluster, nodes, prompt):
        super().__init__(daemon=True)
        self.cluster, self.nodes, self.prompt = cluster, nodes, prompt
        self.tokens, self.last_id, self.verdict, self.detail = [], None, None, ""
        self.refusals = []

    def run(self):
        end = time.monotonic() + STREAM_SECONDS
        attempt = 0
        while self.verdict is None and time.monotonic() < end:
            port = self.cluster.callers[self.nodes[attempt % len(self.nodes)]]
            attempt += 1
            try:
                self.read(port)
            except (OSError, http.client.HTTPException, ValueError) as error:
                self.detail = f"{type(error).__name__}: {error}"
                time.sleep(0.05)
        if self.verdict is None:
            self.verdict = "broken"
        if self.verdict == "whole" and self.tokens != harness.expected_tokens(self.prompt, TOKENS):
            self.verdict, self.detail = "broken", f"{len(self.tokens)} tokens, not those of the prompt"

    def read(self, port):
        headers = {"Last-Event-ID": self.last_id} if self.last_id else None
        connection = harness.open_stream(port, self.prompt, TOKENS, headers=headers, timeout=4.0)
        with contextlib.closing(connection):
            response = connection.getresponse()
            if response.status != 200:
                error = json.loads(response.read())["error"]
                self.refusals.append((response.getheader("X-Request-Id"), error))
                self.detail = str(error)
                self.verdict = "refused" if error["ran"] == "no" else "unknown"
                return
            self.read_events(response)

    def read_events(self, response):
        event = ""
        for raw in response:
            line = raw.decode().rstrip("\n")
            if line.startswith("id: "):
                self.last_id = line[4:]
            elif line.startswith("event: "):
                event = line[7:]
            elif line.startswith("data: "):
                if event == "error":
                    self.verdict, self.detail = "unknown", line
                    return
                if line == "data: [DONE]":
                    self.verdict = "whole"
                    return
                choices = json.loads(line[6:])["choices"]
                text = choices[0]["delta"].get("content", "") if choices else ""
                if text:
                    self.tokens.append(text)
        raise ConnectionError("the stream ended without its end marker")


class BookingCaller(threading.Thread):
    """Books once, and repeats its key at other nodes until it knows or its time is over."""

    kind = "booking"
    tokens = ()

    def __init__(self, cluster, nodes, body, chance):
        super().__init__(daemon=True)
        self.cluster, self.nodes, self.body = cluster, nodes, body
        self.key, self.chance = harness.uuid7(), chance
        self.verdict, self.detail, self.answer = None, "", None

    def run(self):
        end = time.monotonic() + BOOKING_SECONDS
        attempt = 0
        while time.monotonic() < end:
            port = self.cluster.callers[self.nodes[attempt % len(self.nodes)]]
            attempt += 1
            try:
                status, answer, _ = harness.book(port, self.body, self.key, attempt, seconds=ATTEMPT_SECONDS,
                                                 timeout=ATTEMPT_SECONDS + 1)
            except (OSError, http.client.HTTPException, ValueError) as error:
                self.verdict, self.detail = "unknown", f"{type(error).__name__}: {error}"
                continue
            if status == 200:
                self.verdict, self.answer = "whole", answer
                return
            error = answer["error"]
            self.detail = str(error)
            self.verdict = "refused" if error["ran"] == "no" else "unknown"
            # Told that nothing ran, half of the callers take their word for it and go elsewhere.
            if error["reason"] == "outcome_unknown" or (error["ran"] == "no" and self.chance < 0.5):
                return
            time.sleep(0.05)
