"""LOST beside sound servers that stand still for a second or so and go on.

PAUSE: longest time in s that engines stand still. TURNED_AWAY: share of the requests that engines
answer 503, not executed. MOST: engines that stand still at once. LOAD: requests a second. SLACK:
`budget_slack`. SECONDS: length of the play.
"""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
import standins  # noqa: E402
from standins import BOUNDS, Channel, play  # noqa: E402

PAUSE = float(os.environ.get("PAUSE", "1.3"))
TURNED_AWAY = float(os.environ.get("TURNED_AWAY", "0"))
MOST = int(os.environ.get("MOST", "3"))
LOAD = float(os.environ.get("LOAD", "14"))
SECONDS = float(os.environ.get("SECONDS", "40"))
BOUNDS["budget_slack"] = int(os.environ.get("SLACK", str(BOUNDS["budget_slack"])))

original_handle = standins.Server.handle


async def handle(server, request, reader, writer):
    is_work = server.service in server.fleet.engines and "/v1/report" not in request.start
    if is_work and random.random() < TURNED_AWAY:
        attempt = request.get("Azurehaven-Attempt-Id")
        server.fleet.record.write(f"server {server.id} turns {attempt} away: 503, not executed")
        writer.write(server.head(503, [("Azurehaven-Attempt-Id", attempt),
                                       ("Azurehaven-Not-Executed", "1")], 0))
        return
    await original_handle(server, request, reader, writer)


standins.Server.handle = handle


async def case(fleet):
    fleet.events, fleet.event_s = 30, 0.05
    await fleet.start()
    over, tasks, answers = [], [], []

    async def ask():
        channel = Channel(fleet, random.choice(fleet.entries))
        attempt, status, _ = await channel.ask("season-plan")
        answers.append((attempt, status, channel.has_begun))
        channel.close()

    async def load():
        while not over:
            tasks.append(asyncio.ensure_future(ask()))
            await asyncio.sleep(random.expovariate(LOAD))

    async def stand_still(server):
        fleet.record.write(f"server {server.id} stands still")
        server.awake.clear()
        await asyncio.sleep(random.uniform(0.6, max(0.6, PAUSE)))
        server.awake.set()
        fleet.record.write(f"server {server.id} goes on")

    async def trouble():
        while not over:
            awake = [server for server in fleet.servers
                     if server.service in fleet.engines and server.awake.is_set()]
            for server in random.sample(awake, min(random.randint(1, MOST), len(awake))):
                asyncio.ensure_future(stand_still(server))
            await asyncio.sleep(random.uniform(0.2, 0.8))

    async def operator():
        while not over:
            await asyncio.sleep(3)
            fleet.configure()

    loops = [asyncio.ensure_future(task()) for task in (load, trouble, operator)]
    await asyncio.sleep(SECONDS)
    over.append(True)
    await asyncio.gather(*loops)
    for server in fleet.servers:
        server.awake.set()
    await asyncio.gather(*tasks)
    cut = [attempt for attempt, status, begun in answers if status is None and begun]
    ends = {}
    for _, status, _ in answers:
        ends[status] = ends.get(status, 0) + 1
    print(f"pauses up to {PAUSE} s, {TURNED_AWAY} turned away, slack {BOUNDS['budget_slack']}:"
          f" {len(answers)} streams, ends {ends}, cut midway {len(cut)}: {cut[:10]}")
    return bool(cut)


sys.exit(play(HERE, case))
