"""Starts real processes on free loopback ports, waits for conditions, and ends what it started."""

import argparse
import contextlib
import copy
import hashlib
import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import unittest
import uuid
import zlib

WAIT_SECONDS = 30.0
LOG_TAIL = 4000  # characters of a log that a failure shows
OPERATOR_KEY = "operator-key"
OPERATOR = {"Authorization": "Bearer " + OPERATOR_KEY}
# A key pair for tests only: the secret half holds the public one at its end.
SIGNING_KEY = ("10392db94f37c9c0ab2c3ee084a1d7b2babc8dcb509dec336fdb7d200e315759"
               "2276e4103d0ad19e2172327aa865006e3a03c2dfe22b64a8781acb6145b4b751")
SIGNER = "2276e4103d0ad19e2172327aa865006e3a03c2dfe22b64a8781acb6145b4b751"

# A fleet's key pair for peer links, made for these tests and used nowhere else.
PEER_PUBLIC_KEY = 'v/e[w[t-k]wA7rgIYcoejd?e=UCv)eNV.KwPIQ20'
PEER_SECRET_KEY = 'sH5PtY068MU7s}ce^UNo?gL:6v5tCc:OoX5.HzBu'


# Below the range that the kernel takes for outgoing connections.
PORTS = range(10_000, 32_000)
reserved_ports = {}  # the socket that keeps each port, by port
given_ports = set()


def reserve(port):
    """Keeps others from the port until release_ports(). A port that is only known to be free can be taken by another test
    program before the process that it is meant for binds it, and that process would end."""
    keeper = socket.socket()
    try:
        keeper.bind(("127.0.0.1", port))  # without an option that would share the port of another test's keeper
        with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
            datagrams.bind(("127.0.0.1", port))
    except OSError:
        keeper.close()
        return False
    # From here on a process may bind the port, too: the keeper does not listen.
    keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    reserved_ports[port] = keeper
    return True


def release_ports():
    for keeper in reserved_ports.values():
        keeper.close()
    reserved_ports.clear()


def free_port():
    """A port for TCP and UDP that no other test gets; this program doesn't get it twice."""
    while True:
        port = random.SystemRandom().choice(PORTS)
        if port not in given_ports and reserve(port):
            given_ports.add(port)
            return port


def key_digest(key):
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


def expected_tokens(prompt, count):
    """What an engine stand-in answers to the prompt."""
    prompt_sum = zlib.crc32(prompt.encode())
    return ["%08x " % zlib.crc32(f"{prompt_sum}:{i}".encode()) for i in range(count)]


def wait_until(condition, what):
    end = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            if condition():
                return
        time.sleep(0.02)
    raise AssertionError(f"never came about: {what}")


def wait_for_node(node, condition, what):
    """Fails with what the node wrote, and at once if its process has ended."""
    unanswered = []

    def holds():
        if node.popen.poll() is not None:
            raise AssertionError("its process has ended")
        try:
            return condition()
        except TimeoutError as error:
            unanswered.append(error)
            return False

    try:
        wait_until(holds, f"{node.name} {what}")
    except AssertionError as error:
        raise AssertionError(f"{error}; exit {node.popen.poll()}, {len(unanswered)} calls without an answer; its log:\n"
                             f"{node.log_text()[-LOG_TAIL:]}") from error


def http_call(port, method, path, body=None, headers=None, timeout=WAIT_SECONDS):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read().decode(), dict(response.getheaders())
    finally:
        connection.close()


def faults(port, **kinds):
    """Sets faults of a stand-in, such as crash=True or cut_at=5."""
    status, body, _ = http_call(port, "POST", "/control/faults", json.dumps(kinds))
    assert status == 200, body


def runs(port):
    """What an engine stand-in ran."""
    return json.loads(http_call(port, "GET", "/control/log")[1])["runs"]


def uuid7(at=None):
    """A fresh UUID of version 7, of now or of the given time in seconds."""
    millis = int((time.time() if at is None else at) * 1000)
    value = millis << 80 | 7 << 76 | random.getrandbits(12) << 64 | 2 << 62 | random.getrandbits(62)
    return str(uuid.UUID(int=value))


def book(port, body, key=None, attempt=1, service="booking", seconds=10.0, timeout=WAIT_SECONDS):
    """One call of a service that may not be repeated. Returns status, JSON and headers."""
    headers = {"Authorization": "Bearer brand-key", "Content-Type": "text/plain",
               "Idempotency-Attempt": str(attempt),
               "X-Request-Deadline": str(int((time.time() + seconds) * 1000))}
    if key:
        headers["Idempotency-Key"] = key
    status, text, headers = http_call(port, "POST", f"/services/{service}/book", body, headers, timeout)
    return status, json.loads(text), headers


class Process:
    """One process of a test; its standard error goes to a file that a test can read."""

    def __init__(self, folder, name, arguments):
        self.log_path = os.path.join(folder, name + ".log")
        self.log = open(self.log_path, "a", encoding="utf-8")
        self.popen = subprocess.Popen(arguments, stdout=self.log, stderr=self.log)

    def log_text(self):
        with open(self.log_path, encoding="utf-8") as log:
            return log.read()

    def hold_up(self):
        """From here to go_on() the process runs no instruction."""
        self.popen.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.popen.pid, os.WSTOPPED)

    def go_on(self):
        self.popen.send_signal(signal.SIGCONT)

    def stop(self, how=signal.SIGTERM):
        if self.popen.poll() is None:
            self.popen.send_signal(how)
        code = self.popen.wait(WAIT_SECONDS)
        self.log.close()
        return code


class Cluster:
    """Engines and nodes of one test."""

    other_build = None  # of another version: every second node that starts is from there

    def __init__(self, build):
        self.build = build
        self.programs = itertools.cycle(
            f"{each}/vanilladyke" for each in ([build, self.other_build] if self.other_build else [build]))
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []
        self.engines = {}
        self.seed = None
        self.platform_process = None
        self.published = None
        self.log_port = None
        self.bundle = {
            "version": 1,
            "models": [{"id": "copy", "weights": "w1"}],
            "customers": [{"id": "brand", "key_digests": [key_digest("brand-key")]}],
            "engines": [],
            "services": [],
        }

    def start(self, name, arguments):
        process = Process(self.folder.name, name, arguments)
        self.processes.append(process)
        return process

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def write(self, name, value):
        with open(self.path(name), "w", encoding="utf-8") as out:
            json.dump(value, out)
        return self.path(name)

    def engine(self, name, *options):
        port = free_port()
        self.engines[name] = port
        self.bundle["engines"].append({"id": name, "endpoint": f"127.0.0.1:{port}",
                                       "data_centre": "yaba-hall", "models": ["copy"]})
        return self.start(name, [f"{self.build}/tests/standin_engine", "--port", str(port), "--id", name,
                                 *options])

    def peer_settings(self):
        """Settings of a further node, which knows the first one as its seed."""
        secret = self.path("peers.key")
        with open(secret, "w", encoding="utf-8") as out:
            out.write(PEER_SECRET_KEY)
        listen = f"127.0.0.1:{free_port()}"
        self.seed = self.seed or listen
        return {"listen": listen, "seeds": [self.seed], "public_key": PEER_PUBLIC_KEY, "secret_key_file": secret}

    def platform_settings(self):
        platform = self.platform_process or self.platform()
        return {"log": f"127.0.0.1:{platform.port}", "hosts": f"127.0.0.1:{platform.port}"}

    def platform(self):
        """The platform's stand-in: .port for its protocols; faults() and hosts() change it."""
        port, control = free_port(), free_port()
        process = self.start("platform", [f"{self.build}/tests/standin_platform", "--port", str(port),
                                          "--control", str(control)])
        process.port = self.log_port = port

        def order(path, value):
            status, body, _ = http_call(control, "POST", path, json.dumps(value))
            assert status == 200, body

        process.faults = lambda **faults: order("/control/faults", faults)
        process.hosts = lambda hosts: order("/control/hosts", {"hosts": hosts})
        self.platform_process = process
        process.state = lambda: json.loads(http_call(control, "GET", "/control/state")[1])
        wait_until(lambda: http_call(port, "GET", "/v1/hosts")[0] == 200, "platform up")
        wait_until(lambda: process.state() is not None, "platform takes orders")
        return process

    def sign(self, bundle):
        """The bundle with one signature, as operators hand it in."""
        key = self.path("operator.sign")
        if not os.path.exists(key):
            with open(key, "w", encoding="utf-8") as out:
                out.write(SIGNING_KEY)
        signed = self.path("bundle.signed")
        subprocess.run([f"{self.build}/vanilladyke", "bundle", "sign", self.write("bundle.jsonc", bundle),
                        "--key", key, "--out", signed], check=True, stdout=subprocess.DEVNULL)
        with open(signed, encoding="utf-8") as text:
            return text.read()

    @staticmethod
    def status(node):
        """What the node tells operators of itself and its peers."""
        return json.loads(http_call(node.operators, "GET", "/operator/v1/status", headers=OPERATOR)[1])

    def publish(self, node, signed):
        """What the node says became of the signed bundle."""
        status, body, _ = http_call(node.operators, "POST", "/operator/v1/bundles", signed, OPERATOR)
        return status, json.loads(body)

    def publish_bundle(self, node):
        """Publishes self.bundle as the next version."""
        status = self.status(node)
        if status["version"]:
            self.bundle["version"] = status["version"] + 1
            self.bundle["parent"] = status["digest"]
        code, result = self.publish(node, self.sign(self.bundle))
        assert code == 200, result

    @staticmethod
    def wait_up(node):
        def up():
            if node.popen.poll() is not None:
                raise AssertionError(f"{node.name} has ended: {node.log_text()[-2000:]}")
            return http_call(node.operators, "GET", "/healthz")[0] == 200

        wait_until(up, f"{node.name} up")

    def ensure_bundle(self, node):
        """Publishes self.bundle through the node unless it was published as it is now."""
        self.wait_up(node)
        if self.published != self.bundle:
            wait_until(lambda: self.status(node)["log_reachable"], node.name + " reads the log")
            self.publish_bundle(node)
            self.published = copy.deepcopy(self.bundle)

    def restart(self, node):
        """A new process with the settings of one that has ended; not waited for."""
        process = self.start(node.name + "-again", [next(self.programs), "serve", "--settings",
                                                    self.path(node.name + ".jsonc")])
        process.port, process.operators, process.name = node.port, node.operators, node.name
        return process

    def service(self, name, **options):
        """A plain service's stand-in; options stand in its entry of the bundle."""
        port = free_port()
        process = self.start(name, [f"{self.build}/tests/standin_service", "--port", str(port)])
        process.port = port
        self.bundle["services"].append({"id": name, "backends": [f"127.0.0.1:{port}"], **options})
        process.faults = lambda **kinds: faults(port, **kinds)
        process.runs = lambda: runs(port)
        process.started = lambda: json.loads(http_call(port, "GET", "/control/log")[1])["started"]
        wait_until(lambda: http_call(port, "GET", "/control/log")[0] == 200, name + " up")
        return process

    def node_process(self, name, **more):
        """A node that was only started; more settings replace those of the harness."""
        port, operators = free_port(), free_port()
        settings = {"node": name, "data_centre": "yaba-hall", "callers": f"127.0.0.1:{port}",
                    "operators": f"127.0.0.1:{operators}", "balancer_lag_ms": 300, "stream_key": "5e" * 32,
                    "platform": self.platform_settings(),
                    "trusted_signers": [SIGNER], "signatures_needed": 1,
                    "operator_keys": [{"id": "ana", "digest": key_digest(OPERATOR_KEY)}]}
        settings["peers"] = self.peer_settings()
        if self.log_port:
            settings["platform"]["log"] = f"127.0.0.1:{self.log_port}"
        settings.update(more)
        process = self.start(name, [next(self.programs), "serve", "--settings", self.write(name + ".jsonc", settings)])
        process.port, process.operators, process.name = port, operators, name
        return process

    def node(self, name, publish=True, **more):
        """A node that is ready and knows the engines; without publish, one that has no bundle."""
        process = self.node_process(name, **more)
        if not publish:
            self.wait_up(process)
            return process
        self.ensure_bundle(process)
        try:
            wait_until(lambda: http_call(process.port, "GET", "/readyz")[0] == 200, name + " ready")
        except AssertionError as error:
            raise AssertionError(f"{error}; exit {process.popen.poll()}; its log:\n{process.log_text()[-2000:]}") from error
        wait_until(lambda: process.log_text().count("event=engine_up") >= len(self.engines),
                   name + " knows the engines")
        return process

    def close(self):
        for process in reversed(self.processes):
            if process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
            process.log.close()
        release_ports()
        self.folder.cleanup()


def chat(port, prompt, tokens, stream, key="brand-key", headers=None):
    body = json.dumps({"model": "copy", "stream": stream, "max_tokens": tokens,
                       "messages": [{"role": "user", "content": prompt}]})
    return http_call(port, "POST", "/v1/chat/completions", body,
                     {"Authorization": "Bearer " + key, "Content-Type": "application/json", **(headers or {})})


def open_stream(port, prompt, tokens, key="brand-key", headers=None, timeout=WAIT_SECONDS):
    """A streamed chat whose answer is left to be read; the caller closes the connection."""
    body = json.dumps({"model": "copy", "stream": True, "max_tokens": tokens,
                       "messages": [{"role": "user", "content": prompt}]})
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    connection.request("POST", "/v1/chat/completions", body,
                       {"Authorization": "Bearer " + key, "Content-Type": "application/json", **(headers or {})})
    return connection


def streamed_text(body):
    """The text of a stream and whether its end marker came."""
    events = [line[6:] for line in body.splitlines() if line.startswith("data: ")]
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    text = "".join(chunk["choices"][0]["delta"].get("content", "")
                   for chunk in chunks if chunk.get("choices"))
    return text, bool(events) and events[-1] == "[DONE]"


def whole_text(body):
    """The text of an answer that was not streamed."""
    return json.loads(body)["choices"][0]["message"]["content"]


def known_red():
    """Tests that KNOWN-RED.txt names: they fail for a known cause and are left out of a verdict."""
    path = os.path.join(os.path.dirname(__file__), "..", "..", "KNOWN-RED.txt")
    with open(path, encoding="utf-8") as lines:
        return {line.split("|")[0].strip() for line in lines}


def main():
    """Runs the tests of the calling file; --build names the folder with the programs, --other-build one of another
    version, from which every second node that a test starts is then taken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default="build")
    parser.add_argument("--other-build")
    known, rest = parser.parse_known_args()
    ClusterTest.build = os.path.abspath(known.build)
    if known.other_build:
        Cluster.other_build = os.path.abspath(known.other_build)
    unittest.main(argv=["test"] + rest, verbosity=2)


class ClusterTest(unittest.TestCase):
    build = "build"

    def setUp(self):
        if ".".join(self.id().split(".")[-2:]) in known_red() and "RUN_KNOWN_RED" not in os.environ:
            self.skipTest("listed in KNOWN-RED.txt")
        self.cluster = Cluster(self.build)
        self.addCleanup(self.cluster.close)
