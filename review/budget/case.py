"""BUDGET: a request that ends every server that runs it, at all machines, beside sound load.

ROUTE: hut-lookup, hut-confirm or season-plan. AT: all (at all machines at once) or turn.
RESTART: none, term or kill (each machine in turn, twice).
"""
import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402
from standins import BOUNDS, now, play  # noqa: E402

ROUTE = os.environ.get("ROUTE", "hut-lookup")
AT = os.environ.get("AT", "all")
RESTART = os.environ.get("RESTART", "none")
CONTACT_S = BOUNDS["contact_ms"] / 1000
ALLOWED = 3
ROUNDS = 8
BAD_PATH = "deadbeef"
BAD_BODY = b"x" * 64

original_handle = standins.Server.handle


async def handle(server, request, reader, writer):
    if f"/{BAD_PATH}" in request.start and request.get("Azurehaven-Expect-Instance") == server.id:
        attempt = request.get("Azurehaven-Attempt-Id")
        server.fleet.on_run(server, attempt, request)
        server.fleet.bad_sends.append((now(), attempt))
        await asyncio.sleep(0.01)
        if server.up:
            server.fleet.crashes.append(now())
            asyncio.ensure_future(server.crash())
        return
    await original_handle(server, request, reader, writer)


standins.Server.handle = handle


async def case(fleet):
    fleet.bad_sends, fleet.crashes = [], []
    plain_request = fleet.request

    def request(route, **more):
        attempt, text, deadline = plain_request(route, **more)
        if more.get("path") == BAD_PATH and b"POST" in text[:8]:
            head, body = text.split(b"\r\n\r\n", 1)
            text = head + b"\r\n\r\n" + b"0" * len(body)  # the same caller, path and body
        return attempt, text, deadline

    fleet.request = request
    await fleet.start()
    tasks, stopping, is_over = [], set(), False

    async def sound():
        while not is_over:
            entry = random.choice([entry for entry in fleet.entries if entry.name not in stopping])
            tasks.append(asyncio.ensure_future(fleet.ask(entry, ROUTE)))
            await asyncio.sleep(0.05)

    async def bad_at(entry):
        more = {"prompt": "5c1e07a2:800,0badbeef:250"} if ROUTE == "season-plan" else {}
        status = await fleet.ask(entry, ROUTE, path=BAD_PATH, **more)
        print(f"{now():6.1f} s  crashes {len(fleet.crashes)}, {entry.name} answers {status}")

    async def bad_everywhere():
        if AT == "all":
            await asyncio.gather(*[bad_at(entry) for entry in fleet.entries])
            return
        for entry in fleet.entries:
            await bad_at(entry)
            await asyncio.sleep(0.3)

    async def restart(entry):
        stopping.add(entry.name)
        entry.process.send_signal(signal.SIGTERM if RESTART == "term" else signal.SIGKILL)
        await entry.process.wait()
        await asyncio.sleep(0.3)
        await entry.start()
        stopping.discard(entry.name)

    load = asyncio.ensure_future(sound())
    await asyncio.sleep(2)
    for index in range(ROUNDS):
        await bad_everywhere()
        if RESTART != "none":
            await restart(fleet.entries[index % len(fleet.entries)])
        await asyncio.sleep(CONTACT_S + 0.5)
    is_over = True
    await load
    statuses = await asyncio.gather(*tasks)
    bound = fleet.crashes[2] + CONTACT_S if len(fleet.crashes) > 2 else None
    late = [attempt for at, attempt in fleet.bad_sends if bound and at > bound]
    served = sum(status == 200 for status in statuses)
    print(f"crashes: {len(fleet.crashes)}; sends later than {CONTACT_S} s after the third:"
          f" {len(late)} (allowed: {ALLOWED}); sound requests served: {served} of {len(statuses)}")
    return len(late) > ALLOWED


sys.exit(play(HERE, case))
