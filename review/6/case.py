"""BUDGET: a lookup that crashes each server that runs it comes again."""
import asyncio
import os
import pathlib
import random
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import fleet as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAY_S = 45
SOUND_GAP_S = 0.1  # ten sound requests a second
FIRST_S, GAP_S = 3, 5  # the request comes first, and again after its answer
DOWN_S = 3  # until a server that crashed is back
BEFORE_CRASH_S = 0.02
CRASHING_PATH = "h17"
ALLOWED_RETRIES = 3


class Server(standins.Server):
    """Crashes as it runs one request; its machine then is dark, if there is
    trouble, and otherwise resets its connections."""

    async def run(self, method, target, fields, body, attempt, reader, writer):
        if not target.endswith("/" + CRASHING_PATH):
            return await super().run(method, target, fields, body, attempt, reader, writer)
        self.started(attempt, method, target, fields, body)
        self.fleet.arrivals.append(self.fleet.record.at())
        await asyncio.sleep(BEFORE_CRASH_S)
        if not self.is_down:
            self.fleet.crashes.append(self.fleet.record.at())
            asyncio.ensure_future(self.crash(DOWN_S, is_dark=TROUBLE))
        await asyncio.sleep(DOWN_S)
        raise ConnectionError


standins.Server = Server


async def case(fleet):
    fleet.arrivals, fleet.crashes = [], []
    ends = standins.now() + PLAY_S
    served = []

    async def ask_sound():
        route = random.choice(["hut-lookup", "hut-confirm"])
        _, answer = await fleet.ask(random.choice(fleet.entries), route, timeout=1.5, path=f"h{random.randrange(10)}")
        served.append(answer.status == 200 and answer.complete)

    async def send_sound():
        while standins.now() < ends:
            asyncio.ensure_future(ask_sound())
            await asyncio.sleep(SOUND_GAP_S)

    async def send_crashing():
        await asyncio.sleep(FIRST_S)
        number = 0
        while standins.now() < ends:
            await fleet.ask(fleet.entries[number % len(fleet.entries)], "hut-lookup", timeout=1.5, path=CRASHING_PATH)
            number += 1
            await asyncio.sleep(GAP_S)

    await asyncio.gather(send_sound(), send_crashing())
    await asyncio.sleep(2)
    if len(fleet.crashes) < 3:
        raise RuntimeError("the request has not crashed three servers")
    since = fleet.crashes[2] + fleet.bounds["contact_ms"] / 1000
    late = [at for at in fleet.arrivals if at > since]
    fleet.record.add(f"{len(fleet.crashes)} crashes, the third at {fleet.crashes[2]:.3f}; {len(late)} arrivals of the "
                     f"request later than {since:.3f} ({ALLOWED_RETRIES} allowed); {sum(served)} of {len(served)} sound "
                     f"requests served")
    print(fleet.record.lines[-1])
    return len(late) > ALLOWED_RETRIES


with tempfile.TemporaryDirectory(prefix="review-6-") as folder:
    STATUS = standins.play(case, folder, HERE / "record.txt", entries=4, engines=3, plain=3)
sys.exit(STATUS)
