"""Drops TCP segments in the kernel, before their receiver has acknowledged them, as a link does that is cut: the sender's
kernel keeps the bytes and sends them again at TCP's intervals. Classic BPF on a socket, which needs no privilege."""

import contextlib
import ctypes
import socket
import struct

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
DATA_OFFSET_BYTE = 12  # of the TCP header; its high half counts words of four bytes

# Opcodes of classic BPF. X and M[0] hold the length of the header.
LOAD_BYTE, LOAD_BYTE_FROM_X, LOAD_LENGTH = 0x30, 0x50, 0x80
STORE, LOAD_X, TAKE_X = 0x02, 0x61, 0x07
SHIFT_RIGHT, SHIFT_LEFT, ADD = 0x74, 0x64, 0x04
IF_AT_LEAST_X, IF_EQUAL, RETURN = 0x3D, 0x15, 0x06
DROP, ACCEPT = 0, 0xFFFFFFFF


def program(text):
    """Drops segments whose payload begins with the text; a shorter one is accepted."""
    steps = [(LOAD_BYTE, DATA_OFFSET_BYTE), (SHIFT_RIGHT, 4), (SHIFT_LEFT, 2), (STORE, 0),
             (ADD, len(text)), (TAKE_X, 0), (LOAD_LENGTH, 0), (IF_AT_LEAST_X, 0), (LOAD_X, 0)]
    for place, byte in enumerate(text):
        steps += [(LOAD_BYTE_FROM_X, place), (IF_EQUAL, byte)]
    steps += [(RETURN, DROP), (RETURN, ACCEPT)]
    accept = len(steps) - 1
    jumps = (IF_AT_LEAST_X, IF_EQUAL)  # on to the next step if it holds, else to the last one
    return b"".join(struct.pack("HBBI", code, 0, accept - at - 1 if code in jumps else 0, value)
                    for at, (code, value) in enumerate(steps)), len(steps)


def drop_from(sock, text):
    """From now on the socket, or one that it accepts, gets no segment that begins with the text."""
    code, steps = program(text.encode())
    held = ctypes.create_string_buffer(code)
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", steps, ctypes.addressof(held)))


def drop_nothing(sock):
    with contextlib.suppress(FileNotFoundError):  # it has no filter
        sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)


def bytes_on_their_way(port):
    """How many bytes this host's senders hold for connections to the port: not sent, or not acknowledged."""
    held = 0
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in list(table)[1:]:
            fields = line.split()
            if int(fields[2].split(":")[1], 16) == port:
                held += int(fields[4].split(":")[0], 16)
    return held
