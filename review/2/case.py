"""LOST: a server's report that is no report takes the memory of the process, which is killed."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))
from standins import TROUBLE, Channel, now, play  # noqa: E402

STREAM_CLIENTS_EACH, PLAIN_CLIENTS_EACH = 8, 8
ALLOWED = 3  # "more than three times"
MEMORY_MB = 220  # limits.memory_mb of the settings
IN_TROUBLE = 2  # servers of the twelve
TROUBLE_FROM_S, TROUBLE_S = 4.0, 6.5
SILENT_SHARE = 0.45  # of their requests, as srv_grey
REPORT_BYTES = 5_000_000


async def bad_report(server, writer):
    """Bytes that are no answer, as of a list in a list without end; then the channel ends."""
    server.fleet.record.write(f"server {server.id} answers /v1/report with bytes that are no report")
    writer.write(server.head(200, [("Content-Type", "application/json")], -1))
    piece = b"[" * 50_000
    writer.write(b'{"running":12,"queued":1,"runs":')
    sent = 0
    while sent < REPORT_BYTES:
        writer.write(piece)
        sent += len(piece)
        await writer.drain()
    writer.close()


def resident_mb(process):
    with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def case(fleet):
    fleet.events, fleet.event_s = 16, 0.06  # streams of a second
    await fleet.start()
    lost, killed, peaks = [], [], {}
    begin, end = now(), now() + 16
    bad = fleet.servers[:IN_TROUBLE]

    def in_trouble(server):
        return server in bad and TROUBLE_FROM_S <= now() - begin < TROUBLE_FROM_S + TROUBLE_S

    # They fall silent in some of their streams; the requests go on elsewhere.
    fleet.fate = lambda server, request: (
        "silent" if in_trouble(server) and random.random() < SILENT_SHARE else None)
    if TROUBLE:
        for server in bad:
            server.report = lambda writer, it=server: bad_report(it, writer) if in_trouble(it) else None

    async def client(entry, route):
        channel = Channel(fleet, entry)
        while now() < end:
            try:
                attempt, status, kept = await channel.ask(route)
            except (OSError, asyncio.TimeoutError):
                channel.close()
                await asyncio.sleep(0.3)
                continue
            if status is None and kept and not channel.has_begun:
                lost.append((attempt, entry.name))
            await asyncio.sleep(0.005)

    async def platform(entry):
        """Kills a process that exceeds memory_mb and starts it again, as the pages say."""
        while now() < end:
            await asyncio.sleep(0.005)
            try:
                used = resident_mb(entry.process)
            except OSError:
                used = 0.0
            peaks[entry.name] = max(peaks.get(entry.name, 0.0), used)
            if used > MEMORY_MB:
                killed.append((entry.name, round(used)))
                fleet.record.write(f"{entry.name} holds {used:.0f} MB, {MEMORY_MB} are allowed: killed")
                await entry.kill()
                await asyncio.sleep(0.5)
                await entry.start(wait=False)

    await asyncio.gather(*[client(entry, "season-plan") for entry in fleet.entries
                           for _ in range(STREAM_CLIENTS_EACH)],
                         *[client(entry, "hut-lookup") for entry in fleet.entries
                           for _ in range(PLAIN_CLIENTS_EACH)],
                         *[platform(entry) for entry in fleet.entries])
    sound = {attempt for _, server, attempt, _ in fleet.runs if server not in bad}
    counted = [row for row in lost if row[0] in sound]
    print(f"killed for their memory, with MB: {killed}; peaks, MB:"
          f" { {name: round(peak) for name, peak in peaks.items()} }")
    print(f"requests from kept channels, passed on to sound servers, whose channel ended without a"
          f" byte of an answer: {len(counted)} (allowed: {ALLOWED})")
    fleet.record.write(f"lost: {len(counted)}, killed: {killed}")
    return len(counted) > ALLOWED


sys.exit(play(HERE, case))
