"""HTTP servers in threads of the test, for the stand-ins of the platform and its engines."""

import contextlib
import io
import json
import socket
import struct
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


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


class TimedBytes(io.RawIOBase):
    """The bytes of a connection, and when the kernel received the last of those that were read. A thread of a busy test
    may read a request long after that."""

    # Of linux/net_tstamp.h and asm-generic/socket.h.
    SO_TIMESTAMPING = 37
    RECEIVED_BY_KERNEL = 1 << 3 | 1 << 4
    TIMES = struct.Struct("@ll")  # seconds and nanoseconds of the day's clock

    def __init__(self, connection):
        super().__init__()
        self.connection, self.received_at = connection, time.monotonic()
        connection.setsockopt(socket.SOL_SOCKET, self.SO_TIMESTAMPING, self.RECEIVED_BY_KERNEL)

    def readable(self):
        return True

    def readinto(self, buffer):
        size, extra, _, _ = self.connection.recvmsg_into([buffer], socket.CMSG_SPACE(3 * self.TIMES.size))
        self.received_at = time.monotonic()
        for level, kind, data in extra:
            if level == socket.SOL_SOCKET and kind == self.SO_TIMESTAMPING:
                seconds, nanoseconds = self.TIMES.unpack_from(data)
                self.received_at -= time.time() - seconds - nanoseconds / 1e9
        return size


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self):
        super().setup()
        self.bytes = TimedBytes(self.connection)
        self.rfile = io.BufferedReader(self.bytes)

    def log_message(self, *_):
        pass

    def received_at(self):
        """When the kernel received what was read last, by the monotonic clock."""
        return self.bytes.received_at

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
