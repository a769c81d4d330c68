"""Stand-ins of the platform (store, servers, clients) for the cases of this
review, and the entry processes under test. Loopback addresses only."""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "Services" / "azurehaven" / "azurehaven"
FRONT_PORT, READY_PORT, DIRECTORY_PORT, METRICS_PORT = 8227, 8220, 8224, 9464
PEER_PORTS = (7340, 7355)
STORE_PORT, SERVER_PORT = 8223, 8589
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


def now():
    return time.monotonic()


def reset(writer):
    """Closes a connection so that the peer sees a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Returns the start line and the fields (names in lower case) of a message."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(fields.get("content-length", 0) or 0))


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self):
        self.started = now()
        self.lines = []

    def at(self):
        return now() - self.started

    def add(self, text):
        self.lines.append(f"{self.at():9.3f}  {text}")

    def write(self, path):
        path.write_text("\n".join(self.lines) + "\n")


class Listener:
    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.server, self.tasks, self.writers = None, set(), set()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.ip, self.port, limit=1 << 24)

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        self.server = None


class Proxy(Listener):
    """Passes bytes on between one side and another, and resets both on demand."""

    def __init__(self, ip, port, target):
        super().__init__(ip, port)
        self.target, self.pairs = target, []

    async def serve(self, reader, writer):
        host, port = self.target
        onward_reader, onward_writer = await asyncio.open_connection(host, port)
        self.pairs.append((writer, onward_writer))
        try:
            await asyncio.gather(self._pass(reader, onward_writer), self._pass(onward_reader, writer))
        finally:
            onward_writer.close()

    @staticmethod
    async def _pass(reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()

    def reset_all(self):
        for pair in self.pairs:
            for writer in pair:
                if not writer.is_closing():
                    reset(writer)
        self.pairs.clear()


class Store(Listener):
    """The platform's metadata store."""

    def __init__(self, ip, record):
        super().__init__(ip, STORE_PORT)
        self.record = record
        self.revision, self.items, self.history = 100, {}, []
        self.leases, self.next_lease = {}, 1
        self.era = None
        self.hook = None  # called with (method, path, body); may return a reply

    # Changes.
    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "create_revision": created, "lease": lease}
        self.history.append((self.revision, key, dict(self.items[key])))

    def _erase(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.history.append((self.revision, key, {"key": key, "revision": self.revision, "tombstone": True}))

    async def put(self, key, value):
        self._write(key, value if isinstance(value, bytes) else json.dumps(value).encode(), 0)
        return self.revision

    async def remove(self, key):
        self._erase(key)

    async def copy(self):
        return (self.revision, self.next_lease, {k: dict(v) for k, v in self.items.items()})

    async def restore(self, copy):
        self.revision, self.next_lease, items = copy
        self.items = {k: dict(v) for k, v in items.items()}
        self.history = []
        self.leases = {}
        self.era = (self.era or 0) + 1

    def _expire(self):
        for lease, (_, ends) in list(self.leases.items()):
            if ends <= now():
                self._end(lease)

    def _end(self, lease):
        if self.leases.pop(lease, None):
            for key in [k for k, v in self.items.items() if v["lease"] == lease]:
                self._erase(key)

    # Calls.
    async def serve(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            method, target, _ = line.split(" ")
            url = urllib.parse.urlsplit(target)
            query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
            reply = self.hook(method, url.path, body) if self.hook else None
            if asyncio.iscoroutine(reply):
                reply = await reply
            status, answer = reply or await self._answer(method, url.path, query, body)
            if status is None:
                continue  # no response
            data = json.dumps(answer).encode()
            era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
            writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
            await writer.drain()

    async def _answer(self, method, path, query, body):
        self._expire()
        if path == "/v1/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            items = [v for k, v in sorted(self.items.items()) if k.startswith(prefix) and k > after]
            return 200, {"items": items, "more_pages": False, "current_rev": self.revision}
        if path == "/v1/kv-key":
            item = self.items.get(query.get("key", ""))
            return (200, dict(item, current_rev=self.revision)) if item else (404, {})
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return await self._commit(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl / 1000, now() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            self.leases[lease] = (self.leases[lease][0], now() + self.leases[lease][0])
            return 200, {"lease": lease, "ttl_ms": int(self.leases[lease][0] * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            self._end(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        ends, era = now() + int(query.get("wait_ms", 0)) / 1000, self.era
        while True:
            self._expire()
            if after > self.revision or self.era != era:
                return 410, {}
            events = [e for r, k, e in self.history if r > after and k.startswith(prefix)]
            left = ends - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            await asyncio.sleep(min(left, 0.01))

    async def _commit(self, call):
        def revision(key):
            return self.items[key]["revision"] if key in self.items else 0
        wanted = call.get("expected_rev", [])
        if any(revision(c["key"]) != c["revision"] for c in wanted):
            return 412, {"items": [self.items[c["key"]] for c in wanted if c["key"] in self.items]}
        if any(p.get("lease", 0) and p["lease"] not in self.leases for p in call.get("puts", [])):
            return 404, {}
        for entry in call.get("puts", []):
            self._write(entry["key"], base64.b64decode(entry["value"]), entry.get("lease", 0))
        for key in call.get("remove", []):
            self._erase(key)
        return 200, {"revision": self.revision}


class Server(Listener):
    """A sound server: answers requests, streams events, reports what it runs."""
    slots = 64

    def __init__(self, fleet, ip, service, zone, version="v1", port=SERVER_PORT):
        super().__init__(ip, port)
        self.fleet, self.service, self.zone, self.version = fleet, service, zone, version
        self.id = "i-%010x" % random.getrandbits(40)
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running, self.is_down = {}, False
        self.work_s, self.event_s, self.events = 0.03, 0.05, 20
        self.end_s = 0  # from the last event to the end of the stream

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "call_seq": 0, "born": self.born,
                "stage": "colocated", "models": [{"name": "m0", "version": 1, "adapters": []}]}

    async def register(self):
        await self.fleet.store.put("servers/" + self.id, self.entry())

    async def start(self):
        await super().start()
        await self.register()

    def head(self, status, fields, attempt, more=()):
        lines = [f"HTTP/1.1 {status} X"]
        if attempt:
            lines.append(f"Azurehaven-Attempt-Id: {attempt}")
        lines += [f"Azurehaven-Server-Load: {len(self.running)},0,{self.slots}", "Keep-Alive: timeout=30"]
        return ("\r\n".join(lines + list(more)) + "\r\n").encode()

    def refuse(self, status, attempt, more=()):
        return self.head(status, {}, attempt, ["Azurehaven-Not-Executed: 1", *more]) + b"Content-Length: 0\r\n\r\n"

    async def serve(self, reader, writer):
        while True:
            line, fields = await read_head(reader)
            body = await read_body(reader, fields)
            await self.wait_while_down()
            method, target, _ = line.split(" ")
            if target == "/v1/report":
                data = json.dumps({"stage": "colocated", "busy": False, "call_seq": 0, "queued": 0, "born": self.born,
                                   "models": self.entry()["models"], "running": len(self.running), "kv_used": 0,
                                   "kv_total": 456822, "handles": 0, "state": self.state,
                                   "runs": [[a, 100, n, 5] for a, n in self.running.items()]}).encode()
                writer.write(f"HTTP/1.1 200 X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                continue
            attempt = fields.get("azurehaven-attempt-id", "")
            if fields.get("azurehaven-expect-instance", self.id) != self.id:
                self.fleet.record.add(f"{self.id} refuses {attempt}: 421")
                writer.write(self.refuse(421, attempt))
                await writer.drain()
                continue
            await self.run(method, target, fields, body, attempt, reader, writer)

    async def crash(self, down_s, is_dark=False):
        """The process ends: its connections are reset at once or, if the machine
        goes dark, when it is back, as a new start with a new id."""
        self.is_down, self.running = True, {}
        self.fleet.record.add(f"{self.id} {'goes dark' if is_dark else 'crashes'}")
        if not is_dark:
            self.server.close()
            self._reset_all()
        await asyncio.sleep(down_s)
        if is_dark:
            self.server.close()
            self._reset_all()
        await self.fleet.store.remove("servers/" + self.id)
        self.id, self.born = "i-%010x" % random.getrandbits(40), int(time.time() * 1000)
        self.is_down = False
        await self._start_again()
        self.fleet.record.add(f"{self.id} is back in its place")

    async def _start_again(self):
        """Listens as soon as the address is free again."""
        while True:
            try:
                return await self.start()
            except OSError:
                await asyncio.sleep(0.02)

    def _reset_all(self):
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    async def wait_while_down(self):
        """What reaches a dark machine is not handled."""
        while self.is_down:
            await asyncio.sleep(0.05)

    def started(self, attempt, method, target, fields, body):
        self.fleet.runs.append((self.fleet.record.at(), attempt, self.id, method, target, fields, body))
        self.fleet.record.add(f"{self.id} ({self.service} {self.version}) runs {attempt}: {method} {target} "
                              f"model={fields.get('azurehaven-model')} tenant={fields.get('azurehaven-tenant')} "
                              f"last-event={fields.get('last-event-id')} deadline={fields.get('azurehaven-deadline-ms')}")

    async def run(self, method, target, fields, body, attempt, reader, writer):
        self.started(attempt, method, target, fields, body)
        if self.service == "llm":
            return await self.stream(fields, attempt, writer)
        await asyncio.sleep(self.work_s)
        data = f"answer to {attempt} by {self.id}".encode()
        writer.write(self.head(200, fields, attempt, [f"Azurehaven-Response-Seal: seal.{attempt}"]) +
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + (b"" if method == "HEAD" else data))
        await writer.drain()
        self.fleet.record.add(f"{self.id} has answered {attempt}")

    def event(self, attempt, number):
        return f"id: {number}\ndata: {attempt} {number}\n\n".encode()

    async def stream(self, fields, attempt, writer):
        first = int(fields.get("last-event-id") or 0) + 1
        self.running[attempt] = first - 1
        try:
            writer.write(self.head(200, fields, attempt, [
                f"Azurehaven-Response-Seal: seal.{attempt}", "Azurehaven-Confidence: 95",
                "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]) + b"\r\n")
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                text = self.event(attempt, number)
                writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
                await writer.drain()
                self.running[attempt] = number
            await asyncio.sleep(self.end_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            self.fleet.record.add(f"{self.id} has completed {attempt}")
        finally:
            self.running.pop(attempt, None)


class Entry:
    """One entry process on its own loopback address."""

    def __init__(self, fleet, index, ip, zone):
        self.fleet, self.index, self.ip, self.zone = fleet, index, ip, zone
        self.name = f"front-{zone}-{index + 1}"
        self.settings = fleet.folder / f"{self.name}.yaml"
        self.process = None
        self.store_address = fleet.store.address

    def write_settings(self):
        f, b = self.fleet, self.fleet.bounds
        lines = [f'node: "{self.name}"', 'role: "entry"', 'machine_class: "front"',
                 'serves:', '  - "front"', '  - "directory"', f'ip: "{self.ip}"', f'zone: "{self.zone}"',
                 'region: "cymru"', 'zones:']
        lines += [f'  {z}: "cymru"' for z in f.zones]
        lines += ['listen:', f'  front: "{self.ip}:{FRONT_PORT}"', f'  ready: "{self.ip}:{READY_PORT}"',
                  f'  directory: "{self.ip}:{DIRECTORY_PORT}"', 'port_range:',
                  f'  - {PEER_PORTS[0]}', f'  - {PEER_PORTS[1]}', 'seeds: []', 'bootstrap: true',
                  'counts_as_loss: false', 'limits:', '  cpu_share: 0.5', '  cores: 1', '  memory_mb: 220',
                  '  max_fds: 8200', '  link_mbps: 2000.0', '  disk_mb: 0', 'data_dir: null',
                  'discovery: "platform"', 'entry: "directory"', 'heartbeat_ms: 1200', 'bounds:']
        lines += [f"  {k}: {json.dumps(v)}" for k, v in b.items()]
        lines += ['provider:', f'  address: "{self.store_address}"', '  form: "kv"', '  writes_per_s: 400',
                  '  reads_per_s: 2000', '  history_s: 20', '  value_bytes: 1048576', '  ttl_min_ms: 1000']
        self.settings.write_text("\n".join(lines) + "\n")

    async def start(self):
        self.write_settings()
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        env = {"PATH": os.environ["PATH"], "HOME": str(self.fleet.folder), "LANG": "C.UTF-8",
               "AZUREHAVEN_NODE_FILE": str(self.settings)}
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "platform-entry", f"--metrics-port={METRICS_PORT}", cwd=ROOT, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.record.add(f"{self.name} started")

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.fleet.record.add(f"{self.name} gets {signal.Signals(number).name}")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def ready(self):
        try:
            line, _, _ = await get(self.ip, READY_PORT, "/v1/ready", 1)
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def log(self):
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")


async def get(ip, port, target, timeout):
    async def call():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 24)
        try:
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            line, fields = await read_head(reader)
            return line, fields, await read_body(reader, fields)
        finally:
            writer.close()
    return await asyncio.wait_for(call(), timeout)


class Answer:
    def __init__(self):
        self.status, self.fields, self.body = None, {}, b""
        self.complete, self.end, self.sent_at, self.ended_at = False, "no answer", 0, 0


class Channel:
    """A client's channel, kept for many requests."""

    def __init__(self, fleet, entry, address=None):
        self.fleet, self.entry, self.reader, self.writer = fleet, entry, None, None
        self.address = address or (entry.ip, FRONT_PORT)

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address, limit=1 << 24), 1)
        return self

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None

    async def ask(self, attempt, data, timeout, on_data=None):
        """Sends a request and reads its answer to the end."""
        answer = Answer()
        answer.sent_at = self.fleet.record.at()
        method = data.split(b" ", 1)[0]
        try:
            self.writer.write(data)
            await asyncio.wait_for(self._read(answer, method, on_data), timeout)
            answer.complete, answer.end = True, "complete"
        except asyncio.TimeoutError:
            answer.end = "given up"
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            answer.end = "reset" if isinstance(error, ConnectionError) else "closed"
        answer.ended_at = self.fleet.record.at()
        if not answer.complete or answer.fields.get("connection") == "close":
            self.close()
        self.fleet.record.add(f"client at {self.entry.name}: {attempt} sent at {answer.sent_at:.3f}: {answer.status} "
                              f"{answer.end}, {len(answer.body)} bytes")
        return answer

    async def _read(self, answer, method, on_data):
        while answer.status is None or 100 <= answer.status < 200:
            line, answer.fields = await read_head(self.reader)
            answer.status = int(line.split(" ")[1])
        if method == b"HEAD" or answer.status in (204, 304):
            return
        if answer.fields.get("transfer-encoding", "").lower() != "chunked":
            answer.body = await read_body(self.reader, answer.fields)
            return
        while True:
            size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await self.reader.readuntil(b"\r\n")
                return
            answer.body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
            if on_data:
                on_data(answer)


class Fleet:
    """A small deployment: some entry processes, a store, and servers."""

    def __init__(self, folder, entries=3, engines=3, plain=3):
        self.folder, self.record, self.runs = pathlib.Path(folder), Record(), []
        self.zones = ["cymru-a", "cymru-b", "cymru-c"]
        self.net = self._free_net()
        self.bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 8, "lost_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250,
                       "outer_ms": 5000, "fail_closed": True, "revoke_ms": 5000, "retry_budget_ratio": 0.9,
                       "budget_window_s": 10, "budget_slack": 58, "expose_share": 0.15, "expose_slack": 30,
                       "rollback_ms": 5000, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 8.6,
                       "session_s": 5, "ttl_max_s": 5}
        self.store = Store(f"{self.net}.7", self.record)
        self.servers = [Server(self, f"{self.net}.{100 + i}", "llm", self.zones[i % 3]) for i in range(engines)]
        self.servers += [Server(self, f"{self.net}.{150 + i}", "booking", self.zones[i % 3]) for i in range(plain)]
        self.entries = [Entry(self, i, f"{self.net}.{10 + i}", self.zones[i % 3]) for i in range(entries)]
        self.version, self.keys = 10, {"hule930": [KEY]}
        self.routes = [
            self.route("hut-lookup", "idempotent", "booking", 1000, 150, 3),
            self.route("hut-confirm", "non_idempotent", "booking", 1000, 150, 1),
            dict(self.route("stall-check", "streaming", "llm", 15000, 2000, 3), resumable=True, gap_aim_ms=2000,
                 sticky=True, sizes=["m0", "m1"])]
        self.limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 5000}

    @staticmethod
    def _free_net():
        for _ in range(100):
            net = f"127.{random.randint(60, 250)}.{random.randint(1, 250)}"
            try:
                for host, port in ((7, STORE_PORT), (10, FRONT_PORT), (100, SERVER_PORT)):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    @staticmethod
    def route(name, kind, service, timeout_ms, slo_ms, attempts):
        return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
                "timeout_ms": timeout_ms, "slo_ms": slo_ms, "max_attempts": attempts, "priority": 1}

    def configuration(self):
        return {"version": self.version, "limits": self.limits, "routes": self.routes,
                "services": [{"name": "booking", "max_conns": 110, "health_path": "/health"},
                             {"name": "llm", "max_conns": 370, "health_path": "/health",
                              "engine": {"slots": 64, "kv_capacity": 456822,
                                         "models": [{"name": "m0", "cost": 0.008}, {"name": "m1", "cost": 0.06}]}}],
                "tenants": [{"name": n, "api_keys": k} for n, k in self.keys.items()]}

    async def configure(self, **changes):
        self.version += 3
        for name, value in changes.items():
            setattr(self, name, value)
        revision = await self.store.put("op/config", self.configuration())
        self.record.add(f"configuration {self.version} acknowledged")
        return revision

    async def start(self):
        await self.store.start()
        await self.configure()
        for server in self.servers:
            await server.start()
        for entry in self.entries:
            await entry.start()
        if not await self.settled():
            raise RuntimeError("the entry processes did not get ready")

    async def settled(self, limit=20):
        ends = now() + limit
        while now() < ends:
            if all([await e.ready() for e in self.entries]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for entry in self.entries:
            if entry.process and entry.process.returncode is None:
                entry.process.send_signal(signal.SIGCONT)
            await entry.kill()
        for server in self.servers:
            await server.stop()
        await self.store.stop()

    def request(self, route, method=None, deadline=None, body=None, fields=(), path="x", key=KEY, host=HOST):
        """Returns the attempt id and the bytes of a request."""
        attempt = "%016x" % random.getrandbits(64)
        method = method or ("GET" if route == "hut-lookup" else "POST")
        is_engine = route == "stall-check"
        deadline = deadline if deadline is not None else (15000 if is_engine else 1000)
        body = body if body is not None else (b"" if method in ("GET", "HEAD") else b"b" * 300)
        lines = [f"{method} /{route}/{path} HTTP/1.1", f"Host: {host}", f"Azurehaven-Attempt-Id: {attempt}",
                 f"Azurehaven-Deadline-Ms: {deadline}"]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if is_engine and not any(f.lower().startswith("azurehaven-model") for f in fields):
            lines += ["Azurehaven-Model: *", "Azurehaven-Token-Usage: 1460,80",
                      f"Azurehaven-Prompt-Prefix: 5c1e07a2:350,{attempt[:8]}:1110"]
        lines += list(fields)
        if method not in ("GET", "HEAD") or body:
            lines.append(f"Content-Length: {len(body)}")
        return attempt, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def ask(self, entry, route, timeout=None, **more):
        """Sends one request on a new channel."""
        attempt, data = self.request(route, **more)
        channel = Channel(self, entry)
        try:
            await channel.open()
        except (OSError, asyncio.TimeoutError):
            answer = Answer()
            answer.end = "no connection"
            return attempt, answer
        try:
            return attempt, await channel.ask(attempt, data, timeout or (20 if route == "stall-check" else 5))
        finally:
            channel.close()


def play(case, folder, record_path, **shape):
    """Runs a case; returns 1 if it found the rule broken, 0 if not, 2 if it
    could not run."""
    async def main():
        fleet = Fleet(folder, **shape)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            await fleet.start()
            return 1 if await case(fleet) else 0
        finally:
            await fleet.stop()
            fleet.record.write(record_path)
    try:
        return asyncio.run(asyncio.wait_for(main(), 115))
    except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
