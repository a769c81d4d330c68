"""MIXED: malformed responses of endpoints reach callers."""
import asyncio
import collections
import pathlib
import random
import re
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[4]
sys.path.insert(0, str(ROOT / "review" / "lib"))
import standins  # noqa: E402
from standins import play  # noqa: E402

REQUESTS = 1000
PAUSE_S = 0.03  # between requests
UPLOADS = 40
UPLOAD_BYTES = 4_000_000
LONG_BODY_BYTES = 1_000_000
MALFORMED_SHARE = 0.1
CALLER_PORT = 8227
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


def spoil_status(lines, body):
    lines[0] = random.choice(["HTTP/1.1 000 X", "HTTP/1.1 20 X", "HTTP/1.1 0200 X", "HTTP/1.1 999 X"])


def spoil_length(lines, body):
    lines[-1] = random.choice([
        "Content-Length : 3", "Content Length: 3", "Content-Length: 3x", "Content-Length\t: 3",
        "Content-Length 3", "Transfer-Encoding: chunkd", "Transfer-Encoding:",
        "Transfer-Encoding : chunked"])


def add_no_field(lines, body):
    lines.insert(random.randint(1, len(lines)), random.choice(["\r", " no field", " no: field", "no field", ": x"]))


def spoil_name(lines, body):
    lines.insert(random.randint(1, len(lines)), random.choice(["A B: c", "A : b", "A\x01: b", "A\t: b", "A\x7f: b"]))


def spoil_chunk(lines, body):
    lines[-1] = "Transfer-Encoding: chunked"
    body[0] = f"{len(body[0]):x}\r\n{body[0]}xx0\r\n\r\n"


KINDS = [spoil_status, spoil_length, add_no_field, spoil_name, spoil_chunk]


class Server(standins.Server):
    """Sends malformed responses to some requests, and resets the connection of a
    long upload after a part of an early response without a length."""

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if await self.cut_upload(head, writer):
                    return
                if not await self.respond(head, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def field(head, name):
        found = re.search(rb"\r\n" + name.encode() + rb": *([^\r]*)\r\n", head, re.I)
        return found.group(1).decode() if found else ""

    def identity(self, head):
        attempt = self.field(head, "Azurehaven-Attempt-Id")
        return attempt, [f"Azurehaven-Attempt-Id: {attempt}", f"Azurehaven-Response-Seal: seal.{attempt}"]

    async def cut_upload(self, head, writer):
        if int(self.field(head, "Content-Length") or 0) < LONG_BODY_BYTES:
            return False
        _, identity = self.identity(head)
        writer.write(("\r\n".join(["HTTP/1.1 200 X", *identity]) + "\r\n\r\npart").encode())
        await writer.drain()
        await asyncio.sleep(random.choice([0, 0.01]))
        standins.reset(writer)
        return True

    async def respond(self, head, reader, writer):
        await reader.readexactly(int(self.field(head, "Content-Length") or 0))
        attempt, identity = self.identity(head)
        body = [f"answer to {attempt}"]
        lines = ["HTTP/1.1 200 X", *identity, f"Content-Length: {len(body[0])}"]
        is_malformed = self.service == "booking" and random.random() < MALFORMED_SHARE
        if is_malformed:
            random.choice(KINDS)(lines, body)
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + body[0]).encode("latin-1"))
        await writer.drain()
        return not is_malformed


standins.Server = Server


async def exchange(entry, text):
    """Sends a request on a new connection; returns all bytes up to its end."""
    reader, writer = await asyncio.open_connection(entry.ip, CALLER_PORT)
    try:
        writer.write(text.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1))
        return await asyncio.wait_for(reader.read(), 5)
    finally:
        writer.close()


def judge(response, attempt):
    """Returns the status, or what is wrong with the response."""
    head, _, body = response.decode("latin-1").partition("\r\n\r\n")
    lines = head.split("\r\n")
    status = re.fullmatch(r"HTTP/1\.1 ([1-5]\d\d) .*", lines[0])
    if not status:
        return f"status line {lines[0]!r}"
    for line in lines[1:]:
        name, colon, _ = line.partition(":")
        if not colon or not TOKEN.fullmatch(name):
            return f"field {line!r}"
    if status.group(1) == "200" and body != f"answer to {attempt}":
        return f"body {body!r}"
    return status.group(1)


async def case(fleet):
    await fleet.start()
    outcomes = collections.Counter()

    async def ask(route, **more):
        attempt, text, _ = fleet.request(route, **more)
        try:
            outcomes[judge(await exchange(random.choice(fleet.entries), text), attempt)] += 1
        except (OSError, asyncio.TimeoutError) as error:
            outcomes[type(error).__name__] += 1

    for _ in range(REQUESTS):
        await ask(random.choice(["hut-confirm", "hut-lookup"]))
        await asyncio.sleep(PAUSE_S)
    for _ in range(UPLOADS):
        await ask("hut-confirm", body_bytes=UPLOAD_BYTES)
        await asyncio.sleep(PAUSE_S)
    for outcome, count in sorted(outcomes.items()):
        print(f"{count:6} {outcome}")
    return any(not re.fullmatch(r"\d+", outcome) for outcome in outcomes)


with tempfile.TemporaryDirectory(prefix="play-") as folder:
    STATUS = play(folder, case)
sys.exit(STATUS)
