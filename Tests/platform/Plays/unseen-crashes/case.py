"""BUDGET: a request or a prompt part crashes servers, and something else ends its attempts.

END=reset|dark|head-dark|bytes|error|left|deadline, or lone: servers crash by
themselves. KIND=whole|part."""
import asyncio
import os
import pathlib
import random
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[4]
sys.path.insert(0, str(ROOT / "review" / "lib-2"))
import fleet as standins  # noqa: E402

END = os.environ.get("END", "left")
IS_PART = os.environ.get("KIND", "part") == "part"
GAP_S = float(os.environ.get("GAP_S", "1.5"))
PLAY_S, FIRST_S, DOWN_S = 40, 3, 3
SOUND_GAP_S = 0.05 if IS_PART else 0.1
BEFORE_END_S = 0.1  # from the arrival to what the server sends, if anything
CRASH_S = {"left": 0.4, "deadline": 0.9}  # from the arrival to the crash
LEAVES_AFTER_S, SHORT_DEADLINE_MS = 0.3, 800
PATIENCE_S, DEADLINE_MS = (15, 15000) if IS_PART else (1.5, 1000)
SHARED_PART, CRASHING_PART, CRASHING_PATH = "5c1e07a2", "dead0001", "h17"
CRASHES_BEFORE_BOUND, ALLOWED = (5 if IS_PART else 3), 3


class Server(standins.Server):
    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.event_s, self.events = 0.03, 15

    @staticmethod
    def is_crashing(target, fields):
        if END == "lone":
            return False
        if IS_PART:
            return CRASHING_PART in fields.get("azurehaven-prompt-prefix", "")
        return target.endswith("/" + CRASHING_PATH)

    def crash_once(self, is_dark=False):
        if not self.is_down:
            self.fleet.crashes.append(self.fleet.record.at())
            asyncio.ensure_future(self.crash(DOWN_S, is_dark=is_dark))

    async def crash_later(self):
        await asyncio.sleep(CRASH_S[END])
        self.crash_once()

    async def send(self, writer, data):
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.005)

    async def run(self, method, target, fields, body, attempt, reader, writer):
        if not self.is_crashing(target, fields):
            return await super().run(method, target, fields, body, attempt, reader, writer)
        self.started(attempt, method, target, fields, body)
        self.fleet.arrivals.append((self.fleet.record.at(), attempt))
        if END in CRASH_S:
            asyncio.ensure_future(self.crash_later())
        await asyncio.sleep(BEFORE_END_S)
        seal = f"Azurehaven-Response-Seal: seal.{attempt}"
        if END == "bytes":
            await self.send(writer, b"Traceback (most recent call last):\r\n\r\n")
        elif END == "error":
            await self.send(writer, self.head(500, fields, attempt, [seal]) + b"Content-Length: 0\r\n\r\n")
        elif IS_PART and END in ("left", "deadline", "head-dark"):
            more = [seal, "Azurehaven-Confidence: 95", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            await self.send(writer, self.head(200, fields, attempt, more) + b"\r\n")
        if END not in CRASH_S:
            self.crash_once(is_dark=END.endswith("dark"))
        await asyncio.sleep(DOWN_S)
        raise ConnectionError


standins.Server = Server


async def crash_lone(fleet, ends):
    """A server a second crashes by itself, while more than half are up."""
    pool = [server for server in fleet.servers if (server.service == "llm") == IS_PART]
    forms, number = ("reset", "dark", "bytes"), 0
    while standins.now() < ends:
        up = [server for server in pool if not server.is_down]
        if 2 * len(up) > len(pool):
            server, form = random.choice(up), forms[number % len(forms)]
            number += 1
            if form == "bytes":
                for writer in list(server.writers):
                    writer.write(b"Traceback\r\n\r\n")
                await asyncio.sleep(0.005)
            server.crash_once(is_dark=form == "dark")
        await asyncio.sleep(1)


async def case(fleet):
    fleet.arrivals, fleet.crashes = [], []
    served, turn = [], 0
    ends = standins.now() + PLAY_S

    async def ask(entry, is_crashing, timeout, deadline):
        if not IS_PART:
            path = CRASHING_PATH if is_crashing else f"h{random.randrange(10)}"
            return await fleet.ask(entry, "hut-lookup", timeout=timeout, deadline=deadline, path=path)
        own = f"{random.getrandbits(32):08x}"
        second = CRASHING_PART if is_crashing else f"{random.randrange(8):08x}"
        prompt = ("Azurehaven-Model: *", "Azurehaven-Token-Usage: 1460,80",
                  f"Azurehaven-Prompt-Prefix: {SHARED_PART}:350,{second}:200,{own}:910")
        return await fleet.ask(entry, "stall-check", timeout=timeout, deadline=deadline, fields=prompt)

    async def ask_sound(is_patient):
        timeout = PATIENCE_S if is_patient else random.choice([0.02, 0.05, 0.3])
        _, answer = await ask(random.choice(fleet.entries), False, timeout, DEADLINE_MS)
        if is_patient:
            served.append(answer.status == 200 and answer.complete)

    async def send_sound():
        number = 0
        while standins.now() < ends:
            asyncio.ensure_future(ask_sound(END != "lone" or number % 2 == 0))
            number += 1
            await asyncio.sleep(SOUND_GAP_S)

    async def send_crashing():
        nonlocal turn
        await asyncio.sleep(FIRST_S)
        while standins.now() < ends:
            timeout = LEAVES_AFTER_S if END == "left" else PATIENCE_S
            deadline = SHORT_DEADLINE_MS if END == "deadline" else DEADLINE_MS
            asyncio.ensure_future(ask(fleet.entries[turn % len(fleet.entries)], True, timeout, deadline))
            turn += 1
            await asyncio.sleep(GAP_S)

    await asyncio.gather(send_sound(), crash_lone(fleet, ends) if END == "lone" else send_crashing())
    await asyncio.sleep(2)
    if len(fleet.crashes) < 3:
        raise RuntimeError("no three servers have crashed")
    since = fleet.crashes[min(CRASHES_BEFORE_BOUND, len(fleet.crashes)) - 1] + fleet.bounds["contact_ms"] / 1000
    late = [attempt for at, attempt in fleet.arrivals if at > since]
    count = len(set(late)) if IS_PART else len(late)
    print(f"{END}: {len(fleet.crashes)} crashes, {count} too late ({ALLOWED} allowed); {sum(served)} of {len(served)} "
          "sound requests served")
    return count > ALLOWED


with tempfile.TemporaryDirectory(prefix="unseen-crashes-") as folder:
    STATUS = standins.play(case, folder, pathlib.Path(folder) / "record.txt", entries=4,
                           engines=12 if IS_PART else 3, plain=3)
sys.exit(STATUS)
