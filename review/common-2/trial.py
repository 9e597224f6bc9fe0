"""What the scripts of this review share: settings of a node as the platform fills them in, processes of nodes, the
platform's store and its engines, callers, and the record of a run. Every address is a loopback address."""

import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "integration"))

import platform_engine  # noqa: E402: the project's own stand-ins
import platform_store  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "Token brand-key"

# As on the sheet of a small deployment.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "failClosed": True,
          "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 52, "recoverS": 12,
          "transitMs": 120, "againS": 10, "enforceFencing": False, "leaseMs": 3000, "thawMs": 300, "versionMs": 15000,
          "versionAllMs": 21000}
HEARTBEAT_SECONDS = 1.2


class CannotRun(Exception):
    """The case says nothing: its processes or stand-ins did not come up."""


def render(template, fields):
    """The settings file that the platform makes of a template; DEPLOY.md, "Settings of a process"."""

    def value_of(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(found):
        value = value_of(found[2])
        shown = value not in (None, False, "", [], {})
        return found[3] if shown == (found[1] == "#") else ""

    def placeholder(found):
        value = value_of(found[1])
        if found[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Record:
    """What was sent, answered and run, in the order in which it is written."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def at(self, moment):
        return f"{moment - self.began:8.3f} s"

    def line(self, text, moment=None):
        with self.lock:
            self.file.write(f"{self.at(time.monotonic() if moment is None else moment)}  {text}\n")
            self.file.flush()


class QuietStore(platform_store.Store):
    """The platform's store, which may be down: no call is answered then, and nothing is done. What waited when it went
    down gets no answer either."""

    def __init__(self):
        super().__init__()
        self.silent, self.outages = False, 0

    def begin_outage(self):
        with self.changed:
            self.silent, self.outages = True, self.outages + 1
            self.changed.notify_all()

    def end_outage(self):
        with self.changed:
            self.silent = False

    def handle(self, call):
        call.outages = self.outages
        if self.silent:
            call.body()
            self.leave_unanswered(call)
        else:
            super().handle(call)

    def answer(self, call, status, body=b"", headers=None):
        if call.outages != self.outages:
            self.leave_unanswered(call)
        else:
            super().answer(call, status, body, headers)

    @staticmethod
    def leave_unanswered(call):
        call.close_connection = True
        with contextlib.suppress(OSError):
            while call.connection.recv(4096):
                pass


def route(name, kind, service, **more):
    return {"name": name, "host": "h.example", "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": 2500,
            "targetLatencyMs": 150, "priority": 1, "service": service, "maxAttempts": 1, "public": False, **more}


class Node:
    """One machine: its settings, and the process that runs on it now."""

    def __init__(self, trial, number, address):
        self.trial, self.name, self.address = trial, f"front-{number}", address
        self.port, self.ready_port = trial.free_port(address), trial.free_port(address)
        self.inner = trial.free_port(address, width=2)
        self.process, self.first_start, self.starts = None, True, 0

    def settings(self):
        role = self.trial.role
        fields = {"nodeName": self.name, "role": "node", "machineClass": "front", "serves": ["front"], "ip": self.address,
                  "zone": "hall", "region": "lagos", "zones": {"hall": "lagos"},
                  "listen": {"front": f"{self.address}:{self.port}", "ready": f"{self.address}:{self.ready_port}"},
                  "internalPorts": [self.inner, self.inner + 1], "bootstrap": self.first_start, "inFaultBudget": False,
                  "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0},
                  "heartbeatMs": int(HEARTBEAT_SECONDS * 1000), "bounds": BOUNDS,
                  "platform": {"address": f"127.0.0.1:{self.trial.store.port}", "form": "log", "keep_s": 300}}
        return render((ROOT / role["template"]).read_text(encoding="utf-8"), fields)

    def start(self):
        path = self.trial.folder / f"{self.name}.conf"
        path.write_text(self.settings(), encoding="utf-8")
        self.starts += 1
        log = open(self.trial.folder / f"{self.name}.{self.starts}.log", "w", encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["VANILLADYKE_NODE_FILE"] = str(path)
        self.process = subprocess.Popen(shlex.split(self.trial.role["run"]), cwd=ROOT, env=environment, stdout=log,
                                        stderr=log)
        self.first_start = False
        self.trial.record.line(f"{self.name} at {self.address}:{self.port} is started")

    def send_signal(self, number):
        self.process.send_signal(number)
        self.trial.record.line(f"{self.name} gets {signal.Signals(number).name}")

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        with contextlib.suppress(OSError):
            with socket.create_connection((self.address, self.ready_port), timeout=1) as asked:
                asked.sendall(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                return asked.recv(64).startswith(b"HTTP/1.1 200")
        return False

    def log_text(self):
        return "".join(each.read_text(encoding="utf-8") for each in sorted(self.trial.folder.glob(f"{self.name}.*.log")))


class Trial:
    """One run of a case."""

    def __init__(self, record, nodes, routes):
        self.record = record
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.scratch.name)
        self.role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))["roles"]["node"]
        self.given_ports, self.beating, self.engines, self.gone = set(), True, [], set()
        self.store = QuietStore()
        self.config = {"version": 5, "routes": routes,
                       "services": [{"name": name, "healthPath": "/health", "maxConnections": 100}
                                    for name in sorted({each["service"] for each in routes})],
                       "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000,
                                  "idleTimeoutMs": 15000},
                       "tenants": [{"name": "brand", "apiKeys": ["brand-key"]}]}
        self.store.put("keyed.op", "config", self.config)
        network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self.nodes = [Node(self, number, f"{network}.{10 + number}") for number in range(nodes)]
        threading.Thread(target=self.beat, daemon=True).start()

    def free_port(self, address, width=1):
        while True:
            port = random.randint(12000, 30000)
            wanted = range(port, port + width)
            if not self.given_ports.isdisjoint(wanted):
                continue
            with contextlib.ExitStack() as opened, contextlib.suppress(OSError):
                for each in wanted:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        opened.enter_context(socket.socket(type=kind)).bind((address, each))
                self.given_ports.update(wanted)
                return port

    def engine(self, name, service, **options):
        engine = platform_engine.Engine(name, service=service, **options)
        self.engines.append(engine)
        return engine

    def beat(self):
        while self.beating:
            for engine in list(self.engines):
                self.write_entry(engine)
            time.sleep(HEARTBEAT_SECONDS)

    def write_entry(self, engine):
        if not self.store.silent and engine.name not in self.gone and engine.state != "gone":
            self.store.put("keyed.servers", engine.name, engine.entry())

    def remove_entry(self, engine):
        """@return when the store has accepted it"""
        self.gone.add(engine.name)
        self.store.put("keyed.servers", engine.name, None)
        return time.monotonic()

    def start(self):
        for each in self.nodes:
            each.start()
        self.wait_ready(20)

    def wait_ready(self, seconds):
        end = time.monotonic() + seconds
        while not all(each.is_ready() for each in self.nodes):
            if time.monotonic() > end or any(each.process.poll() is not None for each in self.nodes):
                raise CannotRun("a node does not become ready")
            time.sleep(0.05)

    def close(self):
        self.beating = False
        for each in self.nodes:
            if each.process is not None and each.process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    each.process.send_signal(signal.SIGCONT)
                each.process.kill()
                each.process.wait()
        for each in [*self.engines, self.store]:
            with contextlib.suppress(OSError):
                each.close()
        self.scratch.cleanup()


def conduct(folder, nodes, routes, case):
    """Runs the case on a trial and ends the program: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    @param case takes the trial, and returns the breaks that it found, a line each"""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record, trial, status = Record(folder), None, NOT_RUN
    try:
        trial = Trial(record, nodes, routes)
        breaks = case(trial)
        for each in breaks:
            record.line(f"BROKEN: {each}")
        record.line(f"{len(breaks)} breaks of the rule" if breaks else "the rule held")
        status = BROKEN if breaks else HELD
    except Exception:  # noqa: BLE001: whatever goes wrong here says nothing of the rule
        record.line(f"the case could not run: {traceback.format_exc()}")
    finally:
        if trial is not None:
            trial.close()
    sys.exit(status)
