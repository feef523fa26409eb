"""Loopback addresses, a small HTTP/1.1 server and client, and the record."""

import asyncio
import json
import random
import socket
import time

PORTS = {"peers": 7720, "frontend": 8161, "app": 8165, "control": 8166,
         "ready": 8167, "store": 8169, "metrics": 9464}
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, who, event, **fields):
        text = " ".join(f"{key}={json.dumps(value)}"
                        for key, value in fields.items())
        self.file.write(f"{now():9.3f} {who} {event} {text}".rstrip() + "\n")
        self.file.flush()


def free_subnet():
    """Returns a prefix "127.a.b." whose ports are free on its first hosts."""
    for _ in range(200):
        prefix = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}."
        try:
            for host in range(1, 21):
                for port in PORTS.values():
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET,
                                         socket.SO_REUSEADDR, 1)
                        probe.bind((prefix + str(host), port))
            return prefix
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


class HttpServer:
    """Calls `handler(method, target, headers, body)` for each request.

    The handler returns (status, object), or None to leave the request without
    an answer; nothing further is answered on that connection.
    """

    def __init__(self, host, port, handler):
        self.host, self.port, self.handler = host, port, handler
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port, limit=1 << 22)

    async def stop(self):
        """Closes the port and resets all connections, as a crash does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handler(method, target, message[1],
                                            message[2])
                if answer is None:
                    await reader.read()
                    break
                status, value = answer
                body = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(address, method, target, headers=None, body=None, timeout=5.0):
    """Sends one request on a connection of its own.

    Returns (status, object); status 0 means that there was no answer.
    """
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": address, "Content-Type": "application/json",
                      "Content-Length": str(len(data)), **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return 0, None
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2] or b"null")
            except ValueError:
                return status, None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, ConnectionError, OSError):
        return 0, None


class Relay:
    """Forwards TCP connections. `silence()` makes all open connections silent
    for good, without a reset, while new ones work."""

    def __init__(self, host, port, target):
        self.host, self.port, self.target = host, port, target
        self.epoch = 0
        self.server = None
        self.tasks = set()
        # Returns true to take bytes that come from the caller out of the
        # connection, which then returns nothing further.
        self.intercept = lambda data: False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)

    def silence(self):
        self.epoch += 1

    async def serve(self, reader, writer):
        epoch = self.epoch
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        for pair in ((reader, far_writer, self.intercept),
                     (far_reader, writer, lambda data: False)):
            task = asyncio.ensure_future(self.pump(epoch, *pair))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pump(self, epoch, reader, writer, intercept):
        try:
            while data := await reader.read(65536):
                if intercept(data):
                    continue
                if epoch == self.epoch:
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            pass
        # The end of a silent connection does not reach the other side either.
        if epoch == self.epoch:
            writer.close()
