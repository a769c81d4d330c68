"""BUDGET and the planned stop, with processes that start in series while engines fail.

LOAD: requests a second, over all machines. FAIL: share of requests that engines fail.
RESTART: none, kill, term or freeze; each machine in turn, three rounds.
"""
import asyncio
import os
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import BOUNDS, now, play  # noqa: E402

LOAD = float(os.environ.get("LOAD", "12"))
FAIL = float(os.environ.get("FAIL", "1"))
RESTART = os.environ.get("RESTART", "kill")
WINDOW = BOUNDS["budget_window_s"]
TROUBLES_AT = 12
ROUTE = "season-plan"


def within(times, start):
    return sum(start <= at < start + WINDOW for at in times)


async def case(fleet):
    failing = []
    fleet.fate = lambda server, request: "fail" if failing and random.random() < FAIL else None
    await fleet.start()
    tasks, stopping, sent, over = [], set(), [], []
    begun = now()

    async def load():
        while not over:
            entry = random.choice([entry for entry in fleet.entries if entry.name not in stopping])
            sent.append(now())
            tasks.append(asyncio.ensure_future(fleet.ask(entry, ROUTE)))
            await asyncio.sleep(random.expovariate(LOAD))

    async def disturb(entry):
        if RESTART == "freeze":
            entry.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(4)
            entry.process.send_signal(signal.SIGCONT)
            return
        stopping.add(entry.name)
        entry.process.send_signal(signal.SIGTERM if RESTART == "term" else signal.SIGKILL)
        await entry.process.wait()
        await entry.start()
        stopping.discard(entry.name)

    client = asyncio.ensure_future(load())
    await asyncio.sleep(TROUBLES_AT - (now() - begun))
    failing.append(True)
    for _ in range(3):
        for entry in fleet.entries:
            if RESTART == "none":
                await asyncio.sleep(1)
                continue
            print(f"{now():6.1f} s  {RESTART} {entry.name}")
            await disturb(entry)
            await asyncio.sleep(0.5)
    await asyncio.sleep(3)
    over.append(True)
    await client
    statuses = await asyncio.gather(*tasks)

    seen, repeats = set(), []
    for at, _, attempt, _ in fleet.runs:
        if attempt in seen:
            repeats.append(at)
        seen.add(attempt)
    worst, broken = (float("-inf"), 0, 0), 0
    for start in repeats:
        asked = max(within(sent, start - back) for back in (0, WINDOW / 2, WINDOW))
        allowed = BOUNDS["retry_budget_ratio"] * asked + BOUNDS["budget_slack"]
        count = within(repeats, start)
        broken += count > allowed
        worst = max(worst, (count - allowed, count, allowed))
    print(f"load {LOAD}, fail {FAIL}, {RESTART}: {len(sent)} requests,"
          f" {sum(status == 200 for status in statuses)} served, {len(repeats)} repeats; worst window:"
          f" {worst[1]} of {worst[2]:.0f} allowed; broken windows: {broken}")
    return broken > 0


sys.exit(play(HERE, case))
