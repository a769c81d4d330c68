"""LOST and REFUSED around a planned stop: clients keep sending on kept channels until the process
is gone; bookings last up to WORK seconds. Each machine is stopped (SIGTERM) once.
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
from standins import Channel, now, play  # noqa: E402

WORK = float(os.environ.get("WORK", "3.5"))
CLIENTS = 8

original_handle = standins.Server.handle
original_route = standins.Fleet.route


async def handle(server, request, reader, writer):
    is_booking = server.service == "booking" and "/v1/report" not in request.start
    if is_booking and request.get("Azurehaven-Expect-Instance") == server.id:
        attempt = request.get("Azurehaven-Attempt-Id")
        server.fleet.on_run(server, attempt, request)
        await asyncio.sleep(random.uniform(0.2, 1) * WORK)
        body = f"answer to {attempt}".encode()
        writer.write(server.head(200, [("Azurehaven-Attempt-Id", attempt),
                                       ("Azurehaven-Response-Seal", f"seal.{attempt}")],
                                 len(body)) + body)
        return
    await original_handle(server, request, reader, writer)


def route(fleet, name, kind, service, timeout_ms, attempts, slo_ms, **more):
    if service == "booking":
        timeout_ms, slo_ms = 5000, 4000
    return original_route(fleet, name, kind, service, timeout_ms, attempts, slo_ms, **more)


standins.Server.handle = handle
standins.Fleet.route = route


async def case(fleet):
    await fleet.start()
    answers, over = [], []

    async def client(entry, kind):
        channel = Channel(fleet, entry)
        while not over:
            sent = now()
            try:
                attempt, status, _ = await channel.ask(kind, deadline=5000)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
            answers.append((sent, entry, kind, attempt, status))
            await asyncio.sleep(0.02 if status == 200 else 0.1)

    clients = [asyncio.ensure_future(client(entry, kind)) for entry in fleet.entries
               for kind in ("hut-confirm", "hut-lookup") for _ in range(CLIENTS)]
    await asyncio.sleep(5 * WORK)  # the machines learn what answers take
    stops = {}
    for entry in fleet.entries[:2]:
        stops[entry] = now()
        entry.process.send_signal(signal.SIGTERM)
        await entry.process.wait()
        print(f"{now():6.1f} s  {entry.name} has stopped after {now() - stops[entry]:.1f} s")
    over.append(True)
    await asyncio.gather(*clients)
    ran = {attempt for _, _, attempt, _ in fleet.runs}
    during = [row for row in answers if row[1] in stops and row[0] >= stops[row[1]]]
    cut = [row for row in during if row[3] in ran and row[4] != 200]
    refused = [row for row in during if row[4] == 503]
    untrue = [row for row in refused if row[3] in ran]
    print(f"work up to {WORK} s: {len(during)} requests during stops; {len(refused)} refused,"
          f" {len(untrue)} of them had run; {len(cut)} had run and got no answer of their server:"
          f" {[(row[2], row[4], round(row[0] - stops[row[1]], 1)) for row in cut][:20]}")
    return bool(cut) or bool(untrue)


sys.exit(play(HERE, case))
