"""BUDGET: one request crashes the servers that run it; other requests of its
caller have the same path and body, and another query."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAY_S, FIRST_S, GAP_S, DOWN_S = 40, 3, 1.5, 3
SOUND_GAP_S, WORK_S, CRASH_S = 0.1, 0.03, 0.05
DEADLINE_MS = 1000
POISON = "/cufi504/fi50/2f?hut=666"
CRASHES_BEFORE_BOUND, ALLOWED = 3, 3
ROUTE = {"name": "r-lookup", "host": standins.HOST, "path_prefix": "/cufi504/", "kind": "idempotent",
         "timeout_ms": 1000, "slo_ms": 150, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": False,
         "sticky": False, "resumable": False}
SERVICE = {"name": "wuno96b", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False}
arrivals, served = [], []


async def work(server, method, target, fields, body, attempt, writer):
    if target == POISON:
        arrivals.append((server.fleet.record.at(), attempt))
        if TROUBLE:
            await asyncio.sleep(CRASH_S)
            asyncio.ensure_future(server.crash(DOWN_S))
            await asyncio.sleep(DOWN_S)
            return
    await asyncio.sleep(WORK_S)
    await server.succeed(writer, attempt)


async def case(fleet):
    fleet.configure([ROUTE], [SERVICE])
    await fleet.add_servers("wuno96b", 3, 6)
    fleet.start_entries(4)
    await fleet.until_ready()
    ends = fleet.record.at() + PLAY_S

    async def ask_sound():
        target = f"/cufi504/fi50/2f?hut={random.randrange(500)}"
        _, answer = await fleet.ask(random.randrange(4), "GET", target, DEADLINE_MS)
        served.append(answer.status == 200)

    async def send_sound():
        while fleet.record.at() < ends:
            asyncio.ensure_future(ask_sound())
            await asyncio.sleep(SOUND_GAP_S)

    async def send_poison():
        await asyncio.sleep(FIRST_S)
        number = 0
        while fleet.record.at() < ends:
            asyncio.ensure_future(fleet.ask(number % 4, "GET", POISON, DEADLINE_MS))
            number += 1
            await asyncio.sleep(GAP_S)

    await asyncio.gather(send_sound(), send_poison())
    await asyncio.sleep(2)
    late = []
    if TROUBLE:
        if len(fleet.crashes) < CRASHES_BEFORE_BOUND:
            raise RuntimeError("no three servers have crashed")
        since = fleet.crashes[CRASHES_BEFORE_BOUND - 1] + standins.BOUNDS["contact_ms"] / 1000
        late = [attempt for at, attempt in arrivals if at > since]
    fleet.record.line("result", crashes=len(fleet.crashes), arrivals_too_late=len(late), allowed=ALLOWED,
                      sound_served=f"{sum(served)}/{len(served)}")
    print(f"{len(fleet.crashes)} crashes, {len(late)} arrivals too late ({ALLOWED} allowed); "
          f"{sum(served)} of {len(served)} sound requests served")
    return len(late) > ALLOWED


sys.exit(standins.play(case, work, HERE / "record.txt"))
