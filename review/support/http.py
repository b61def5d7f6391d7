"""A minimal HTTP/1.1 reader and client on asyncio streams.

Written for the review, so that a case decides itself which bytes it sends.
"""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(kw_only=True)
class Message:
    """One request or answer; names of headers are in lower case."""

    start: str
    headers: dict
    body: bytes = b""

    @property
    def status(self):
        """The status of an answer."""
        return int(self.start.split(" ", 2)[1])

    @property
    def words(self):
        """The words of the first line."""
        return self.start.split(" ")

    def header(self, name):
        """Return a header's value, or an empty text."""
        return self.headers.get(name.lower(), "")


async def read_message(reader, *, has_body=True):
    """Return the next Message, or None at the end of the stream.

    Raises EOFError if the message is cut short.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("the head is cut short") from error
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    message = Message(start=start, headers=headers)
    if has_body:
        message.body = await _read_body(reader, headers)
    return message


async def _read_body(reader, headers):
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            return await _read_chunks(reader)
        return await reader.readexactly(int(headers.get("content-length", 0)))
    except asyncio.IncompleteReadError as error:
        raise EOFError("the body is cut short") from error


async def _read_chunks(reader):
    chunks = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return b"".join(chunks)
        chunks.append(chunk)


async def call(address, port, method, path, *, headers=(), body=b""):
    """Return the answer to one request on a new connection.

    Raises OSError or EOFError if there is none.
    """
    reader, writer = await asyncio.open_connection(address, port)
    try:
        writer.write(
            request_bytes(
                method,
                path,
                headers=[("Connection", "close"), *headers],
                body=body,
                host=f"{address}:{port}",
            )
        )
        answer = await read_message(reader)
    finally:
        writer.close()
    if answer is None:
        raise EOFError("the connection was closed without an answer")
    return answer


def request_bytes(method, path, *, headers=(), body=b"", host=""):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    if not any(name.lower() == "host" for name, _ in headers):
        lines.append(f"Host: {host}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
