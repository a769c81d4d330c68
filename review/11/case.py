"""UNASKED: a request holds another one, in the body that its length declares, or
in chunks, behind line ends or chunk ends that HTTP implementations read differently."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TURNS, GAP_S = 5, 0.5
ROUTE = {"name": "r-confirm", "host": standins.HOST, "path_prefix": "/puxa403/", "kind": "non_idempotent",
         "timeout_ms": 1000, "slo_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": 1, "public": False,
         "sticky": False, "resumable": False}
SERVICE = {"name": "wuno96b", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False}
sent, ran = set(), []


async def work(server, method, target, fields, body, attempt, writer):
    ran.append(attempt)
    server.fleet.record.line("body", attempt=attempt, bytes=body)
    await asyncio.sleep(0.01)
    await server.succeed(writer, attempt)


def head(attempt, more, method="POST"):
    return (f"{method} /puxa403/2f HTTP/1.1\r\nHost: {standins.HOST}\r\nAzurehaven-Attempt-Id: {attempt}\r\n"
            f"Azurehaven-Deadline-Ms: 1000\r\nAuthorization: Bearer {standins.KEY}\r\n{more}\r\n\r\n").encode()


def holding(form, outer, inner):
    """The bytes of a request. The one inside is a part of its body or of a trailer
    field, or stands behind a body that is malformed."""
    if form == "length":  # The length covers the request inside.
        return head(outer, f"Content-Length: {len(inner)}", "CONNECT") + inner
    chunks = {"sound": b"4\r\nbook\r\n0\r\nX-Check: 7\r\n\r\n",
              # A bare line feed ends no line, so that the field goes on.
              "trailer": b"4\r\nbook\r\n0\r\nX-Check: 7\n\n" + inner,
              # Chunk data is followed by CR LF, not by other bytes.
              "chunk_end": b"4\r\nbook--0\r\n\r\n" + inner}
    return head(outer, "Transfer-Encoding: chunked") + chunks[form]


async def case(fleet):
    fleet.configure([ROUTE], [SERVICE])
    await fleet.add_servers("wuno96b", 3, 6)
    fleet.start_entries(2)
    await fleet.until_ready()
    forms = ["length", "trailer", "chunk_end"] if TROUBLE else ["sound", "sound", "sound"]
    smuggled = {form: 0 for form in sorted(set(forms))}
    for number in range(TURNS):
        for form in forms:
            outer, inner = (f"{random.getrandbits(64):016x}" for _ in range(2))
            sent.add(outer)
            data = holding(form, outer, head(inner, "Content-Length: 0"))
            fleet.record.line("send", form=form, attempt=outer, inside="none" if form == "sound" else inner,
                              bytes=data)
            reader, writer = await asyncio.open_connection(fleet.entries[number % 2], 8227)
            writer.write(data)
            await asyncio.sleep(GAP_S)
            writer.close()
            answer = await reader.read(65536)
            fleet.record.line("answered", attempt=outer, bytes=answer)
            if inner in ran:
                smuggled[form] += 1
            if form == "sound" and outer not in ran:
                raise RuntimeError("a sound request in chunks has not run")
    unasked = [attempt for attempt in ran if attempt not in sent]
    fleet.record.line("result", ran=len(ran), unasked=len(unasked), by_form=smuggled)
    print(f"{len(ran)} requests ran, {len(unasked)} of them that no client sent: {smuggled}")
    return len(unasked) > 0


sys.exit(standins.play(case, work, HERE / "record.txt"))
