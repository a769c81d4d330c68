"""BUDGET: a part of a prompt that crashes servers before their answer's first byte is never refused."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import BOUNDS, TROUBLE, now, play  # noqa: E402

BAD_PART = "badbad01"
CONTACT_S = BOUNDS["contact_ms"] / 1000
ALLOWED = 3  # "more than three requests"
LENGTH_S = 30


def parts(request):
    return [part.split(":")[0] for part in request.get("Azurehaven-Prompt-Prefix").split(",")]


async def case(fleet):
    crashes = []

    def fate(server, request):
        if TROUBLE and BAD_PART in parts(request)[:-1]:
            crashes.append(now())
            return "crash"
        return None

    fleet.fate = fate
    await fleet.start()
    end = now() + LENGTH_S
    tasks = []

    async def sound():
        while now() < end:
            tasks.append(asyncio.ensure_future(fleet.ask(random.choice(fleet.entries), "season-plan")))
            await asyncio.sleep(0.1)

    async def crashing():
        await asyncio.sleep(3)
        while now() < end:
            prompt = f"5c1e07a2:800,{BAD_PART}:300,{random.getrandbits(32):08x}:250"
            tasks.append(asyncio.ensure_future(
                fleet.ask(random.choice(fleet.entries), "season-plan", prompt=prompt)))
            await asyncio.sleep(1)

    await asyncio.gather(sound(), crashing())
    await asyncio.gather(*tasks)
    if not TROUBLE:
        return False
    if len(crashes) < 5:
        print(f"only {len(crashes)} crashes")
        return False
    bound = crashes[4] + CONTACT_S
    late = [attempt for at, _, attempt, request in fleet.runs
            if at > bound and BAD_PART in parts(request)[:-1]]
    print(f"crashes: {len(crashes)}; arrivals with the part later than {CONTACT_S} s after the fifth:"
          f" {len(late)}, of {len(set(late))} requests (allowed: {ALLOWED})")
    fleet.record.write(f"crashes: {len(crashes)}, late requests: {len(set(late))}")
    return len(set(late)) > ALLOWED


sys.exit(play(HERE, case))
