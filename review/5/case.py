"""BUDGET: a machine that was restarted in turn knows no part of a prompt that crashes servers."""
import asyncio
import pathlib
import random
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import BOUNDS, TROUBLE, now, play  # noqa: E402

BAD_PART = "badbad01"
CONTACT_S = BOUNDS["contact_ms"] / 1000
ALLOWED = 3  # "more than three requests"
ROUNDS = 2


def parts(request):
    return [part.split(":")[0] for part in request.get("Azurehaven-Prompt-Prefix").split(",")]


async def case(fleet):
    crashes = []

    def fate(server, request):
        if BAD_PART in parts(request)[:-1]:
            crashes.append(now())
            return "crash after its head"
        return None

    fleet.fate = fate
    await fleet.start()
    tasks, stopping, is_over = [], set(), False

    async def sound():
        while not is_over:
            entry = random.choice([entry for entry in fleet.entries if entry.name not in stopping])
            tasks.append(asyncio.ensure_future(fleet.ask(entry, "season-plan")))
            await asyncio.sleep(0.1)

    async def crashing(entry):
        """Requests with the part come at any machine, no two alike."""
        for other in [entry] + [other for other in fleet.entries if other is not entry]:
            prompt = f"5c1e07a2:800,{BAD_PART}:300,{random.getrandbits(32):08x}:250"
            status = await fleet.ask(other, "season-plan", prompt=prompt)
            print(f"{now():6.1f} s  crashes {len(crashes)}, {other.name} answers {status}")
            await asyncio.sleep(0.25)

    async def restart(entry):
        stopping.add(entry.name)
        fleet.record.write(f"{entry.name} gets SIGTERM")
        entry.process.send_signal(signal.SIGTERM)
        await entry.process.wait()
        fleet.record.write(f"{entry.name} has ended: {entry.process.returncode}")
        await asyncio.sleep(0.3)
        await entry.start()
        stopping.discard(entry.name)

    load = asyncio.ensure_future(sound())
    await asyncio.sleep(2)
    await crashing(fleet.entries[0])
    for entry in fleet.entries * ROUNDS:
        if TROUBLE:
            await restart(entry)
        await asyncio.sleep(CONTACT_S + 0.5)  # in touch again
        await crashing(entry)
    is_over = True
    await load
    await asyncio.gather(*tasks)
    bound = crashes[4] + CONTACT_S if len(crashes) > 4 else None
    late = [attempt for at, _, attempt, request in fleet.runs
            if bound and at > bound and BAD_PART in parts(request)[:-1]]
    print(f"crashes: {len(crashes)}; with the part, later than {CONTACT_S} s after the fifth:"
          f" {len(set(late))} requests reached servers, {len(late)} times (allowed: {ALLOWED})")
    fleet.record.write(f"crashes: {len(crashes)}, late: {len(set(late))} requests, {len(late)} times")
    return len(set(late)) > ALLOWED


sys.exit(play(HERE, case))
