"""LOST: a client attempt whose id holds a letter of ISO 8859-1 ends the process."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import TROUBLE, Channel, now, play  # noqa: E402

CLIENTS_EACH = 6
ALLOWED = 3  # "more than three times"


async def case(fleet):
    fleet.events = 40  # streams of 0.85 s
    await fleet.start()
    lost, ends = [], []
    end = now() + 18

    async def client(entry):
        channel = Channel(fleet, entry)
        while now() < end:
            try:
                attempt, status, kept = await channel.ask("season-plan")
            except (OSError, asyncio.TimeoutError):  # no channel: the client tries again
                channel.close()
                await asyncio.sleep(0.3)
                continue
            if status is None and kept:
                lost.append((now(), attempt, entry.name))
            await asyncio.sleep(0.05)

    async def platform(entry):
        """Starts a process that has ended again, after a short delay."""
        while now() < end:
            await asyncio.sleep(0.1)
            if not entry.running:
                ends.append((entry.name, entry.process.returncode))
                fleet.record.write(f"{entry.name} has ended by itself: {entry.process.returncode}")
                await asyncio.sleep(0.5)
                await entry.start(wait=False)

    tasks = [asyncio.ensure_future(client(entry)) for entry in fleet.entries
             for _ in range(CLIENTS_EACH)]
    tasks += [asyncio.ensure_future(platform(entry)) for entry in fleet.entries]
    await asyncio.sleep(2)
    letter = "â" if TROUBLE else "a"
    for entry in fleet.entries[:2]:
        status = await fleet.ask(entry, "hut-confirm", attempt=f"t{letter}n-{random.getrandbits(32):08x}")
        print(f"the booking of the client with its own spelling gets {status} from {entry.name}")
    await asyncio.gather(*tasks)
    started = {attempt for _, _, attempt, _ in fleet.runs}
    counted = [row for row in lost if row[1] in started]
    print(f"processes that ended by themselves: {ends}")
    print(f"requests from kept channels, run by a sound server, whose channel ended without an answer:"
          f" {len(counted)} (allowed: {ALLOWED})")
    fleet.record.write(f"lost: {len(counted)}, ends: {ends}")
    return len(counted) > ALLOWED


sys.exit(play(HERE, case))
