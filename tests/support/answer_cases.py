"""Answers of upstreams as bytes: sound ones, in the forms that HTTP/1.1 allows, and malformed ones."""
import asyncio
import socket
import struct

LONG_BODY = 3 << 20
BODY = b"id: 1\ndata: the whole of it\n\n"


class Case:
    """What an upstream sends: a status line, its usual fields, those of the case, and the bytes of the body."""

    def __init__(self, is_sound, start=b"HTTP/1.1 200 OK", fields=(), body=BODY, end="close", upload=0):
        self.is_sound_, self.start_, self.fields_, self.body_ = is_sound, start, fields, body
        self.end_, self.upload_ = end, upload
        self.is_kept_ = is_sound and bool(fields) and start.startswith(b"HTTP/1.1")

    def head(self, usual_fields):
        return b"\r\n".join([self.start_, *usual_fields, *self.fields_]) + b"\r\n\r\n"


def length(body=BODY):
    return b"Content-Length: %d" % len(body)


def chunked(body, extension=b"", trailer=b""):
    half = len(body) // 2
    return b"".join(b"%x%s\r\n%s\r\n" % (len(part), extension, part) for part in (body[:half], body[half:])) \
        + b"0\r\n" + trailer + b"\r\n"


CHUNKED = (b"Transfer-Encoding: chunked",)
SOUND = {
    "length": Case(True, fields=(length(),)),
    "chunked": Case(True, fields=CHUNKED, body=chunked(BODY)),
    "chunk-extension-and-trailer": Case(True, fields=CHUNKED, body=chunked(BODY, b";a=b", b"X-Sum: 1\r\n")),
    "no-length": Case(True),
    "http-1.0": Case(True, start=b"HTTP/1.0 200 OK"),
    "no-reason": Case(True, start=b"HTTP/1.1 200", fields=(length(),)),
    "interim": Case(True, start=b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", fields=(length(),)),
    "early-length": Case(True, fields=(length(),), end="read", upload=LONG_BODY),
    "early-chunked": Case(True, fields=CHUNKED, body=chunked(BODY), end="read", upload=LONG_BODY),
    "early-no-length": Case(True, end="read", upload=LONG_BODY),
    "early-error-no-length": Case(True, start=b"HTTP/1.1 413 Too Large", end="read", upload=LONG_BODY),
}
MALFORMED = {
    "early-reset": Case(False, end="reset", upload=LONG_BODY),
    "early-reset-of-error": Case(False, start=b"HTTP/1.1 500 Error", end="reset", upload=LONG_BODY),
    "early-close": Case(False, end="close", upload=LONG_BODY),
    "status-000": Case(False, start=b"HTTP/1.1 000 OK", fields=(length(),)),
    "status-200x": Case(False, start=b"HTTP/1.1 200x OK", fields=(length(),)),
    "status-777": Case(False, start=b"HTTP/1.1 777 OK", fields=(length(),)),
    "name-with-blank": Case(False, fields=(b"X Note: 1", length())),
    "name-with-tab": Case(False, fields=(b"X\tNote: 1", length())),
    "name-with-control-byte": Case(False, fields=(b"X\x01Note: 1", length())),
    "no-name": Case(False, fields=(b": 1", length())),
    "blank-before-colon-of-length": Case(False, fields=(b"Content-Length : 5",)),
    "control-byte-in-length": Case(False, fields=(b"Content\x01-Length: 5",)),
    "line-of-blanks": Case(False, fields=(b"  ", b"Content-Length: 5")),
    "length-with-letters": Case(False, fields=(b"Content-Length: 5abc",)),
    "two-lengths": Case(False, fields=(b"Content-Length: 5, 9",)),
    "coding-identity": Case(False, fields=(b"Transfer-Encoding: identity",)),
    "blank-before-colon-of-coding": Case(False, fields=(b"Transfer-Encoding : chunked",), body=chunked(BODY)),
}
CASES = SOUND | MALFORMED


async def send_answer(case, usual_fields, headers, reader, writer):
    """Answers a request of which the head has been read."""
    if not case.upload_:
        await reader.readexactly(int(headers.get("content-length", 0)))
    writer.write(case.head(usual_fields) + case.body_)
    await writer.drain()
    if case.end_ == "read":
        # What an upstream does that doesn't want the body: it ends its side and reads on.
        if not case.fields_:
            writer.write_eof()
        await asyncio.sleep(0.2)
        await reader.readexactly(int(headers.get("content-length", 0)))
    elif case.end_ == "reset":
        writer.write_eof()
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


async def read_head(reader):
    """The first line of a message and its fields, names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    return lines[0], {name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:] if ": " in line)}


async def read_answer(reader):
    """Status, fields and body of an answer with a length or chunks; raises where it is not complete."""
    start, headers = await read_head(reader)
    body = b""
    if headers.get("transfer-encoding") == "chunked":
        size = -1
        while size:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
    else:
        body = await reader.readexactly(int(headers["content-length"]))
    return int(start.split()[1]), headers, body
