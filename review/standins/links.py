"""The links of one node to all engines: a proxy for each engine, and a cut in which no byte passes and no connection comes
about. What a sender has given to its kernel before the cut is sent again by TCP, at intervals that double from 0.2 s, unless
the sender resets the connection; a reset withdraws it."""

import contextlib
import socket
import struct
import threading
import time

FIRST_RETRANSMISSION = 0.2


class Link:
    """From one node to one engine."""

    def __init__(self, links, target):
        self.links, self.target = links, target
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            if self.links.is_cut:
                # Its SYN would be lost. A connection that does not answer stands for one that does not come about.
                self.links.unanswered.append(near)
                continue
            far = socket.create_connection(("127.0.0.1", self.target))
            for one, other in ((near, far), (far, near)):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.pass_on, args=(one, other, one is near), daemon=True).start()

    def pass_on(self, one, other, is_request):
        with contextlib.suppress(OSError):
            while True:
                data = one.recv(65536)
                if is_request and data:
                    self.links.on_bytes(data)
                sent = time.monotonic()
                pause = FIRST_RETRANSMISSION
                while self.links.is_cut:
                    sent, pause = sent + pause, 2 * pause
                    while time.monotonic() < sent:
                        time.sleep(0.005)
                if one.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0:
                    break  # reset meanwhile
                if not data:
                    other.shutdown(socket.SHUT_WR)
                    return
                other.sendall(data)
        for each in (one, other):
            with contextlib.suppress(OSError):
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                each.close()


class Links:
    def __init__(self):
        self.is_cut, self.unanswered, self.on_bytes = False, [], lambda data: None

    def to(self, port):
        return Link(self, port).port

    def cut(self):
        self.is_cut = True

    def heal(self):
        self.is_cut = False
