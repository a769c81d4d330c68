"""LOST beside changes of the configuration: clients reuse channels that have rested for less than
four fifths of `idle_timeout_ms`, which the operator changes every 3 s.

LIMIT: the shorter limit in ms. CHANGES: 0 keeps it all the time. BODY: bytes of a request. CAP: 1
lets each machine run 40 ms of every 100, as under a core's usage cap. SECONDS: length of the play.
"""
import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import Channel, now, play  # noqa: E402

LIMIT = int(os.environ.get("LIMIT", "200"))
CHANGES = os.environ.get("CHANGES", "1") != "0"
BODY = int(os.environ.get("BODY", "60000"))
CAP = os.environ.get("CAP", "1") != "0"
SECONDS = float(os.environ.get("SECONDS", "40"))
CLIENTS = 24
LONG_LIMIT = 15000


async def case(fleet):
    if not CHANGES:
        fleet.idle_timeout_ms = LIMIT
    await fleet.start(engines=0)
    over, cut, late, asked = [], [], [], 0

    async def operator():
        while not over:
            await asyncio.sleep(3)
            fleet.idle_timeout_ms = LIMIT if fleet.idle_timeout_ms == LONG_LIMIT else LONG_LIMIT
            fleet.configure()

    async def cap(entry):
        while not over:
            entry.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.06)
            entry.process.send_signal(signal.SIGCONT)
            await asyncio.sleep(0.04)

    async def client(entry):
        nonlocal asked
        channel = Channel(fleet, entry)
        while not over:
            # The limit that holds while the channel rests is the shorter of the two.
            began = now()
            await asyncio.sleep(random.uniform(0, 0.75) * LIMIT / 1000)
            rest_ms = (now() - began) * 1000
            try:
                attempt, status, was_kept = await channel.ask("hut-confirm", deadline=3000,
                                                              body_bytes=BODY)
            except (OSError, asyncio.TimeoutError):
                continue
            asked += was_kept
            if status is None and was_kept:
                # This process may itself have been late with its request.
                (cut if rest_ms < 0.8 * LIMIT else late).append((now(), attempt))

    tasks = [asyncio.ensure_future(client(entry)) for entry in fleet.entries
             for _ in range(CLIENTS)]
    if CHANGES:
        tasks.append(asyncio.ensure_future(operator()))
    if CAP:
        tasks += [asyncio.ensure_future(cap(entry)) for entry in fleet.entries]
    await asyncio.sleep(SECONDS)
    over.append(True)
    await asyncio.gather(*tasks)
    ran = {attempt for _, _, attempt, _ in fleet.runs}
    print(f"limit {LIMIT} ms, changes {CHANGES}, bodies of {BODY}, cap {CAP}: {asked} requests on"
          f" kept channels, {len(cut)} cut, {sum(attempt in ran for _, attempt in cut)} of them"
          f" passed on; {len(late)} more cut after a rest beyond four fifths of the limit")
    return bool(cut)


sys.exit(play(HERE, case))
