"""TWICE: requests that may run once, on routes with several models."""
import collections
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import fleet as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOW_CONFIDENCE, HIGH_CONFIDENCE = 10, 95
REQUESTS = 20  # on each route
SMALLEST, LARGEST = "m0", "m1"
EVENTS = 6


class Server(standins.Server):
    """An engine whose smallest model thinks little of its answers."""

    async def run(self, method, target, fields, body, attempt, reader, writer):
        if self.service != "llm":
            return await super().run(method, target, fields, body, attempt, reader, writer)
        self.started(attempt, method, target, fields, body)
        is_doubtful = TROUBLE and fields.get("azurehaven-model") == SMALLEST
        more = [f"Azurehaven-Response-Seal: seal.{attempt}",
                f"Azurehaven-Confidence: {LOW_CONFIDENCE if is_doubtful else HIGH_CONFIDENCE}"]
        if target.startswith("/agent/"):
            data = f"answer to {attempt}".encode()
            writer.write(self.head(200, fields, attempt, more) + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        else:
            events = b"".join(self.event(attempt, number) for number in range(1, EVENTS + 1))
            more += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            writer.write(self.head(200, fields, attempt, more) +
                         f"\r\n{len(events):x}\r\n".encode() + events + b"\r\n0\r\n\r\n")
        await writer.drain()
        return None


standins.Server = Server


async def case(fleet):
    sizes = {"sizes": [SMALLEST, LARGEST], "sticky": True}
    await fleet.configure(routes=fleet.routes + [
        dict(fleet.route("agent", "non_idempotent", "llm", 8000, 2000, 3), **sizes),
        dict(fleet.route("tell", "streaming", "llm", 8000, 2000, 3), gap_aim_ms=2000, **sizes)])
    await standins.asyncio.sleep(fleet.bounds["config_ms"] / 1000 + 0.5)
    asked = []
    for number in range(REQUESTS):
        for route in ("agent", "tell"):
            prompt = ("Azurehaven-Model: *", "Azurehaven-Token-Usage: 1460,80",
                      f"Azurehaven-Prompt-Prefix: 5c1e07a2:350,{number:08x}:1110")
            entry = fleet.entries[number % len(fleet.entries)]
            attempt, answer = await fleet.ask(entry, route, timeout=9, deadline=8000, fields=prompt)
            asked.append((route, attempt, answer))
    runs = collections.Counter(run[1] for run in fleet.runs)
    broken = 0
    for route in ("agent", "tell"):
        served = [a for r, a, answer in asked if r == route and answer.status == 200 and answer.complete]
        twice = [a for r, a, _ in asked if r == route and runs[a] > 1]
        broken += len(twice)
        fleet.record.add(f"route {route}: {REQUESTS} requests, {len(served)} served, {len(twice)} ran more than once")
        print(fleet.record.lines[-1])
        if not served:
            raise RuntimeError("no request was served")
    return broken > 0


with tempfile.TemporaryDirectory(prefix="review-10-") as folder:
    STATUS = standins.play(case, folder, HERE / "record.txt")
sys.exit(STATUS)
