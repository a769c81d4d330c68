"""BUDGET: prompts with a part that crashes engines, of a client that leaves."""
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
WINDOWS, WINDOW_S, PAUSE_S = 6, 5.5, 2.5  # in which the client leaves early
CRASHING_GAP_S = 1.0
SOUND_GAP_S = 0.05
LEAVES_AFTER_S = 0.3
BUDGET_S = 15
HEAD_S, CRASH_S = 0.15, 0.4  # after the arrival: the answer begins, the server crashes
DOWN_S = 3  # until a server that crashed is back
SHARED_PART, CRASHING_PART = "5c1e07a2", "dead0001"
ALLOWED_REQUESTS = 3


class Server(standins.Server):
    """Begins to write an answer on the bad part, and crashes."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.event_s, self.events = 0.03, 15

    async def run(self, method, target, fields, body, attempt, reader, writer):
        if CRASHING_PART not in fields.get("azurehaven-prompt-prefix", ""):
            return await super().run(method, target, fields, body, attempt, reader, writer)
        self.started(attempt, method, target, fields, body)
        self.fleet.arrivals.append((self.fleet.record.at(), attempt))
        asyncio.ensure_future(self.crash_soon())
        await asyncio.sleep(HEAD_S)
        writer.write(self.head(200, fields, attempt, [
            f"Azurehaven-Response-Seal: seal.{attempt}", "Azurehaven-Confidence: 95",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]) + b"\r\n")
        await writer.drain()
        await asyncio.sleep(DOWN_S)
        raise ConnectionError

    async def crash_soon(self):
        await asyncio.sleep(CRASH_S)
        if not self.is_down:
            self.fleet.crashes.append(self.fleet.record.at())
            await self.crash(DOWN_S)


standins.Server = Server


async def case(fleet):
    fleet.arrivals, fleet.crashes = [], []
    served, done = [], asyncio.Event()

    async def ask(part, timeout):
        own = f"{random.getrandbits(32):08x}"
        prompt = ("Azurehaven-Model: *", "Azurehaven-Token-Usage: 1460,80",
                  f"Azurehaven-Prompt-Prefix: {SHARED_PART}:350,{part}:200,{own}:910")
        return await fleet.ask(random.choice(fleet.entries), "stall-check", timeout=timeout, deadline=BUDGET_S * 1000,
                               fields=prompt)

    async def ask_sound():
        _, answer = await ask(f"{random.randrange(8):08x}", BUDGET_S)
        served.append(answer.status == 200 and answer.complete)

    async def send_sound():
        while not done.is_set():
            asyncio.ensure_future(ask_sound())
            await asyncio.sleep(SOUND_GAP_S)

    async def send_crashing():
        for _ in range(WINDOWS):
            ends = standins.now() + WINDOW_S
            while standins.now() < ends:
                asyncio.ensure_future(ask(CRASHING_PART, LEAVES_AFTER_S if TROUBLE else BUDGET_S))
                await asyncio.sleep(CRASHING_GAP_S)
            await asyncio.sleep(PAUSE_S)
        done.set()

    sound = asyncio.ensure_future(send_sound())
    await asyncio.sleep(3)
    await send_crashing()
    await sound
    await asyncio.sleep(2)
    if len(fleet.crashes) < 3:
        raise RuntimeError("the part has not crashed three servers")
    fifth = fleet.crashes[min(4, len(fleet.crashes) - 1)]
    since = fifth + fleet.bounds["contact_ms"] / 1000
    late = {attempt for at, attempt in fleet.arrivals if at > since}
    fleet.record.add(f"{len(fleet.crashes)} crashes, the fifth (or last) at {fifth:.3f}; {len(late)} requests with the part "
                     f"reached servers later than {since:.3f} ({ALLOWED_REQUESTS} allowed); {sum(served)} of "
                     f"{len(served)} sound requests served")
    print(fleet.record.lines[-1])
    return len(late) > ALLOWED_REQUESTS


with tempfile.TemporaryDirectory(prefix="review-9-") as folder:
    STATUS = standins.play(case, folder, HERE / "record.txt", entries=4, engines=12, plain=3)
sys.exit(STATUS)
