"""A TCP proxy that breaks connections on demand, between any two parties.

    fault_proxy.py --control PORT

    POST /control/links   {"name": NAME, "to": "HOST:PORT"}       -> {"port": P}: listen and pass on
    POST /control/faults  {"link": NAME, ...}                     what from now on goes wrong:
        "refuse": bool          take no connection (the listening port is closed)
        "reset": bool           take a connection and reset it
        "cut_request_at": N     reset once N bytes of the request have gone through; null: never
        "cut_answer_at": N      reset once N bytes of the answer have gone through
        "lose_answers": N       for the next N connections: the request gets through, the answer not
        "freeze": bool          connections that are open now stay open, and carry nothing ever again
        "freeze_new": bool      connections from now on carry nothing
        "hold": bool            bytes wait until this ends, and are then carried on; those of an end that has reset its
                                connection meanwhile are lost
        "hold_on": TEXT         the same, from the first piece of a request on that contains the text
        "drop_on": TEXT         segments of a request that begin with the text are lost on the link, so that the sender's
                                kernel holds them and sends them again; null: none
        "hang_new": bool        the opening packets of new connections get no answer
        "break_open": bool      reset all connections that are open now
        "delay_ms": N           hold back every piece of an answer
        "duplicate": bool       send the request's bytes on a second connection too
    POST /control/clear   {"link": NAME}                          all faults off; frozen ones stay
    GET  /control/state   {"links": {NAME: {"connections": N, "open": N, "bytes_to": N, "bytes_from": N}}}

A connection frozen stays so for good, as when something between the two ends has lost track of it.
"""

import argparse
import asyncio
import contextlib
import json
import socket
import struct

import segment_filter

PIECE = 65536
NEVER = 1 << 60


def clean_faults():
    return {"refuse": False, "reset": False, "cut_request_at": None, "cut_answer_at": None, "lose_answers": 0,
            "freeze": False, "freeze_new": False, "hang_new": False, "hold": False, "hold_on": None,
            "drop_on": None, "delay_ms": 0, "duplicate": False}


def reset(writer):
    """Ends a connection by a reset instead of an orderly close."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Connection:
    """One connection of a caller, and the one that was opened for it."""

    def __init__(self, link, reader, writer):
        self.link, self.reader, self.writer = link, reader, writer
        self.far_writer = self.second = None
        self.frozen = link.faults["freeze_new"]
        self.deaf = link.faults["lose_answers"] > 0
        if self.deaf:
            link.faults["lose_answers"] -= 1
        self.thawed = asyncio.Event()  # never set: a frozen connection stays frozen

    def break_off(self):
        for writer in (self.writer, self.far_writer, self.second):
            if writer:
                reset(writer)

    async def run(self):
        if self.link.faults["reset"]:
            self.break_off()
            return
        if self.frozen:
            await self.thawed.wait()
        far_reader, self.far_writer = await asyncio.open_connection(*self.link.target)
        if self.link.faults["duplicate"]:
            drain, self.second = await asyncio.open_connection(*self.link.target)
            asyncio.ensure_future(drain.read())
        await asyncio.gather(self.carry(self.reader, self.far_writer, "cut_request_at", "bytes_to"),
                             self.carry(far_reader, self.writer, "cut_answer_at", "bytes_from"))

    async def carry(self, reader, writer, cut, count):
        answering = cut == "cut_answer_at"
        passed = 0
        while True:
            data = await reader.read(PIECE)
            if self.frozen:
                await self.thawed.wait()
            if not answering and self.link.faults["hold_on"] and self.link.faults["hold_on"].encode() in data:
                self.link.flowing.clear()
            await self.link.flowing.wait()
            if reader.exception():
                self.break_off()
                return
            if not data:
                break
            if answering and self.deaf:
                self.break_off()
                return
            if answering and self.link.faults["delay_ms"]:
                await asyncio.sleep(self.link.faults["delay_ms"] / 1000)
            limit = self.link.faults[cut]
            room = (NEVER if limit is None else limit) - passed
            writer.write(data[:max(room, 0)])
            if self.second and not answering:
                self.second.write(data)
            await writer.drain()
            passed += len(data)
            self.link.bytes[count] += len(data)
            if len(data) > room:
                self.break_off()
                return
        with contextlib.suppress(OSError):
            writer.write_eof()


class Link:
    """One listening port and where its connections go."""

    def __init__(self, name, target):
        host, port = target.rsplit(":", 1)
        self.name, self.target = name, (host, int(port))
        self.faults = clean_faults()
        self.open, self.connections, self.port, self.server = set(), 0, 0, None
        self.keeper = None  # keeps the port from others while nobody listens
        self.plug = []  # a listener whose queue is full, and what fills it
        self.flowing = asyncio.Event()  # set unless bytes are held
        self.flowing.set()
        self.bytes = {"bytes_to": 0, "bytes_from": 0}
        self.changing = asyncio.Lock()  # two orders at once must not both open the port

    async def listen(self):
        if self.keeper is None:
            self.keeper = socket.socket()
            self.keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.keeper.bind(("127.0.0.1", 0))
            self.port = self.keeper.getsockname()[1]
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)

    def unplug(self):
        for each in self.plug:
            each.close()
        self.plug = []

    def hang_new(self):
        """Takes the port with a full queue, so that the kernel drops the opening packets."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(0)
        self.plug = [listener]
        for _ in range(4):
            filling = socket.socket()
            filling.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filling.connect(("127.0.0.1", self.port))
            self.plug.append(filling)

    async def serve(self, reader, writer):
        self.connections += 1
        connection = Connection(self, reader, writer)
        self.open.add(connection)
        try:
            await connection.run()
        except (OSError, asyncio.IncompleteReadError):
            connection.break_off()
        finally:
            self.open.discard(connection)
            for each in (connection.writer, connection.far_writer, connection.second):
                if each:
                    each.close()

    async def set_faults(self, changes):
        self.faults.update(changes)
        if self.faults.pop("freeze", False):
            for connection in self.open:
                connection.frozen = True
        self.faults["freeze"] = False
        if self.faults.pop("break_open", False):
            for connection in list(self.open):
                connection.break_off()
        (self.flowing.clear if self.faults["hold"] else self.flowing.set)()
        if "drop_on" in changes:
            self.filter_segments()
        async with self.changing:
            listens = not (self.faults["refuse"] or self.faults["hang_new"])
            self.unplug()
            if not listens and self.server:
                self.server.close()
                self.server = None
            if self.faults["hang_new"]:
                self.hang_new()
            elif listens and not self.server:
                await self.listen()

    def filter_segments(self):
        """On all that takes bytes of callers. A connection that comes later takes the filter of its listener."""
        listeners = list(self.server.sockets) if self.server else []
        for receiver in listeners + [each.writer.get_extra_info("socket") for each in self.open]:
            if receiver.fileno() < 0:
                continue  # closed
            if self.faults["drop_on"]:
                segment_filter.drop_from(receiver, self.faults["drop_on"])
            else:
                segment_filter.drop_nothing(receiver)

    def state(self):
        return {"connections": self.connections, "open": len(self.open), **self.bytes}


class Proxy:
    def __init__(self):
        self.links = {}

    async def order(self, path, value):
        if path == "/control/links":
            link = self.links[value["name"]] = Link(value["name"], value["to"])
            await link.listen()
            return {"port": link.port}
        if path == "/control/state":
            return {"links": {name: link.state() for name, link in self.links.items()}}
        link = self.links[value.pop("link")]
        await link.set_faults(clean_faults() if path == "/control/clear" else value)
        return {}

    async def control(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = next((int(line.split(":")[1]) for line in head.split("\r\n")
                           if line.lower().startswith("content-length:")), 0)
            body = await reader.readexactly(length)
            answer = json.dumps(await self.order(head.split()[1], json.loads(body or b"{}"))).encode()
            status = b"200 OK"
        except (KeyError, ValueError, TypeError, OSError, asyncio.IncompleteReadError) as error:
            status, answer = b"400 Bad Request", json.dumps({"error": repr(error)}).encode()
        writer.write(b"HTTP/1.1 %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                     % (status, len(answer), answer))
        with contextlib.suppress(OSError):
            await writer.drain()
        writer.close()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--control", type=int, required=True)
    proxy = Proxy()
    server = await asyncio.start_server(proxy.control, "127.0.0.1", parser.parse_args().control)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
