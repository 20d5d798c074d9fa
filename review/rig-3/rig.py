"""Stand-ins of the users' platform and a small deployment of the project's programs, for the scripts of this review.

The store, the workers and the clients follow PROTOCOL.md. They run in the process of the script; entries and agents are
separate processes, started with the commands of deploy/system.toml. All addresses are loopback addresses.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Settings of a small deployment: the example of DEPLOY.md, and the bounds of the sheet in SYSTEM.md.
HEARTBEAT_MS = 1_500
HOLD_MAX_MS = 6_000
STOP_MS = 400
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
APPEND_MS = 2.0
KEEP_S = 300
MAX_LISTED_ENDS = 500
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000

FRONT_PORT, READINESS_PORT, CONTROL_PORT, APP_PORT = 8521, 8523, 8526, 8529
STORE_PORT, POLICY_PORT = 8524, 8525
HOST = "nony24.example"
KEY = "d4a3hwrr6x73d3zji9n7"


def now_ms():
    return time.monotonic() * 1_000


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


# HTTP/1.1 with bodies of a known length.

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Silent(Exception):
    """The request gets no answer, and the connection returns nothing further."""


def reply(status, body=b""):
    return status, body if isinstance(body, bytes) else json.dumps(body).encode()


async def serve_http(address, port, handle):
    """Serves `handle(method, path, query, headers, body)`, which returns status and body. The server has the open
    connections in `writers`."""
    writers = set()

    async def serve_connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                path, _, query = target.partition("?")
                pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                try:
                    status, content = await handle(method, path, pairs, headers, body)
                except Silent:
                    await reader.read()
                    return
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(serve_connection, address, port, limit=1 << 22)
    server.writers = writers
    return server


async def call_http(address, port, method, path, headers=(), body=None, timeout=3.0):
    """Sends one request on a new connection; returns status and body, and status 0 if there is no complete answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            content = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
            if content:
                lines.append("Content-Type: application/json")
            lines += [f"Content-Length: {len(content)}", "Connection: close", "", ""]
            writer.write("\r\n".join(lines).encode() + content)
            await writer.drain()
            first, answer_headers = await read_head(reader)
            return int(first.split(" ")[1]), await read_body(reader, answer_headers)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


# The platform's store.

class Partition:
    def __init__(self):
        self.first = 0
        self.records = collections.deque()
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.appended = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)


class Store:
    """The log of PROTOCOL.md: topics with offsets, conditional appends, producers with epochs, keyed topics."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.refused_sizes = collections.Counter()

    def partition(self, topic):
        return self.partitions.setdefault(topic, Partition())

    async def start(self, address):
        self.address = f"{address}:{STORE_PORT}"
        self.server = await serve_http(address, STORE_PORT, self.handle)

    async def handle(self, method, path, query, _headers, body):
        if path == "/log-append":
            return await self.append(query, body)
        if path == "/log-read":
            return await self.read(query)
        if path == "/log-newest":
            return self.newest(query)
        return reply(404, {})

    async def append(self, query, body):
        records, rest = [], body
        while rest:
            (size,) = struct.unpack(">I", rest[:4])
            records.append(rest[4:4 + size])
            rest = rest[4 + size:]
        largest = max(map(len, records), default=0)
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            if not self.refused_sizes:
                self.record.line(f"store: refused an append to {query['topic']} with a record of {largest} bytes")
            self.refused_sizes[query["topic"]] += 1
            return reply(413, {})
        topic = query["topic"]
        partition = self.partition(topic)
        async with partition.lock:
            await asyncio.sleep(APPEND_MS / 1_000)
            if "at" in query and int(query["at"]) != partition.end:
                return reply(412, {"end": partition.end})
            producer = None
            if "producer" in query:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                known = partition.producers.setdefault(query["producer"], [0, None, collections.OrderedDict()])
                if epoch < known[0]:
                    return reply(409, {"reason": "fenced"})
                if epoch > known[0]:
                    known[:] = [epoch, None, collections.OrderedDict()]
                if sequence in known[2]:
                    return reply(200, known[2][sequence])
                if not records:
                    return reply(200, {"offset": partition.end, "end": partition.end})
                if known[1] is not None and sequence != known[1]:
                    return reply(409, {"reason": "seq", "sequence": known[1]})
                producer = known
            answer = self.add(partition, topic, records)
            if producer is not None:
                producer[1] = int(query["sequence"]) + 1
                producer[2][int(query["sequence"])] = answer
                while len(producer[2]) > 5:
                    producer[2].popitem(last=False)
            return reply(200, answer)

    def add(self, partition, topic, records):
        offset = partition.end
        for raw in records:
            if topic.startswith("keyed."):
                key, value = raw[1:1 + raw[0]].decode(), raw[1 + raw[0]:]
                if value:
                    partition.newest[key] = (value, partition.end)
                else:
                    partition.newest.pop(key, None)
            partition.records.append((time.monotonic(), raw))
        while partition.records and partition.records[0][0] < time.monotonic() - KEEP_S:
            partition.records.popleft()
            partition.first += 1
        partition.appended.set()
        partition.appended = asyncio.Event()
        return {"offset": offset, "end": partition.end}

    async def read(self, query):
        partition = self.partition(query["topic"])
        start, wait_ms = int(query["from"]), min(int(query.get("wait_ms", 0)), 30_000)
        deadline = time.monotonic() + wait_ms / 1_000
        while True:
            if start < partition.first:
                return reply(410, {"first_offset": partition.first})
            if partition.end > start:
                break
            left = deadline - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(partition.appended.wait(), left)
            except asyncio.TimeoutError:
                break
        body, room = struct.pack(">QQ", partition.end, partition.first), int(query.get("max_kb", 1_024)) * 1_024
        for index in range(start - partition.first, len(partition.records)):
            raw = partition.records[index][1]
            if len(body) + len(raw) > room + 16:
                break
            body += struct.pack(">I", len(raw)) + raw
        return reply(200, body)

    def newest(self, query):
        partition = self.partition(query["topic"])
        items, size, has_more = [], 0, False
        for key in sorted(key for key in partition.newest if key > query.get("after", "").replace("%2F", "/")):
            value, offset = partition.newest[key]
            if len(items) >= PAGE_ITEMS or (items and size + len(value) > PAGE_BYTES):
                has_more = True
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return reply(200, {"items": items, "has_more": has_more, "end": partition.end})

    def write(self, key, value):
        """Writes a record of the operator to keyed.op."""
        raw = bytes([len(key)]) + key.encode() + (b"" if value is None else json.dumps(value).encode())
        self.add(self.partition("keyed.op"), "keyed.op", [raw])
        self.record.say(f"operator: {key} {json.dumps(value)}")


# The policy service.

class Policy:
    """The service at `advice`. It handles one call at a time for each calling machine, here for all of them together as only
    the leader calls, and admits every worker that it knows."""

    def __init__(self, decide_ms, each_ms, valid_ms):
        self.decide_ms, self.each_ms, self.valid_ms = decide_ms, each_ms, valid_ms
        self.lock, self.waiting = asyncio.Lock(), 0
        self.calls = []

    async def start(self, address):
        self.address = f"{address}:{POLICY_PORT}"
        self.server = await serve_http(address, POLICY_PORT, self.handle)

    async def handle(self, _method, path, _query, _headers, body):
        if path != "/advise":
            return reply(404, {})
        if self.waiting >= 32:
            return reply(429, {})
        request = json.loads(body)
        self.waiting += 1
        try:
            async with self.lock:
                await asyncio.sleep((self.decide_ms + self.each_ms * len(request["workers"])) / 1_000)
        finally:
            self.waiting -= 1
        self.calls.append((now_ms(), request["step"]))
        rows = [[worker, f"{request['step']}/{worker}/{now_ms():.0f}"] for worker in request["workers"]]
        return reply(200, {"admitted": rows, "valid_ms": self.valid_ms})

    def accepts(self, ticket, task, worker):
        step, name, at = (ticket.split("/") + ["", "", "0"])[:3]
        return task.startswith(f"{step}.") and name == worker and now_ms() <= float(at) + self.valid_ms


# The workers.

class Worker:
    """A worker with its leases, fencing tokens, runs and ends. `task_spec` names the duration of a run: run_ms=300."""

    def __init__(self, rig, index, capacity):
        self.rig, self.index, self.capacity = rig, index, capacity
        self.address = rig.agent_ip(index)
        self.kind = "a"
        self.lives = 0
        self.begin_life()

    def begin_life(self):
        """Begins a life of the worker: it has a new id and knows nothing of before."""
        self.lives += 1
        self.name = f"i-{self.index:02x}{self.lives:02x}{os.getpid() % 0xffff:04x}"
        self.born = time.monotonic()
        self.token = 0
        self.lease_end = 0.0
        self.running, self.ended, self.highest = {}, [], {}
        self.ends = self.sequence = 0
        self.ended_event = asyncio.Event()

    def clock_ms(self):
        return 1_000 + (time.monotonic() - self.born) * 1_000

    async def start(self):
        self.server = await serve_http(self.address, APP_PORT, self.handle)
        self.tasks = [asyncio.create_task(self.announce()), asyncio.create_task(self.run())]

    def end_life(self):
        """Ends everything that runs here at once, like a crash."""
        for task in self.tasks:
            task.cancel()
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()
        for key, run in self.running.items():
            self.rig.on_end(self, key, run, "lost")
        self.running.clear()

    async def crash(self, back_s):
        """Crashes; the worker is back after some seconds, with a new id."""
        self.rig.record.line(f"worker {self.index}: crashes as {self.name}, with {len(self.running)} runs")
        self.end_life()
        await asyncio.sleep(back_s)
        self.begin_life()
        await self.start()
        self.rig.record.line(f"worker {self.index}: is back as {self.name}")

    async def announce(self):
        while True:
            self.sequence += 1
            cpu, memory, gpu = self.capacity
            body = {"service": self.rig.service, "address": f"{self.address}:{APP_PORT}", "zone": "haiphong-a",
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": {"cpu": cpu, "memory_request_mb": memory, "gpu": gpu},
                    "labels": [self.kind, f"r1-{(self.index - 1) // 3 + 1}"], "clock_ms": int(self.clock_ms()),
                    "sequence": self.sequence}
            await call_http(self.address, CONTROL_PORT, "PUT", f"/instances/{self.name}", body=body, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            self.advance()

    def advance(self):
        clock = self.clock_ms()
        for key, run in list(self.running.items()):
            if clock > self.lease_end and run["end"] > self.lease_end:
                self.end(key, "lapsed")
            elif clock >= run["end"]:
                self.end(key, run["how"])

    def end(self, key, how):
        run = self.running.pop(key)
        self.ends += 1
        self.ended.append([self.ends, key[0], key[1], how, ""])
        self.rig.on_end(self, key, run, how)
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    async def handle(self, _method, path, _query, headers, body):
        if path == "/health":
            return reply(200)
        request = json.loads(body)
        if headers.get("x-expected-instance", self.name) != self.name:
            return reply(421, {})
        clock = self.clock_ms()
        self.advance()
        token = request.get("fencing_token", 0)
        if token < self.token:
            return reply(409, {"clock_ms": int(clock), "reason": "fence"})
        self.token = token
        if "deadline_ms" in request:
            self.lease_end = max(self.lease_end, min(request["deadline_ms"], clock + HOLD_MAX_MS))
        if path == "/run-start":
            return self.start_run(request, clock)
        if path == "/run-stop":
            return self.stop_run(request, clock)
        if path == "/hold":
            return await self.hold(request)
        return reply(200, {"clock_ms": int(clock)})

    def start_run(self, request, clock):
        key = (request["task"], request["run"])
        answer = {"clock_ms": int(clock)}
        if key in self.running:
            return reply(200, answer)
        if self.highest.get(key[0], 0) >= key[1]:
            return reply(409, answer | {"reason": "old"})
        if clock >= self.lease_end:
            return reply(409, answer | {"reason": "late"})
        spec = dict(pair.partition("=")[::2] for pair in request["task_spec"].split())
        if "advice" in spec and not self.rig.policy.accepts(request.get("ticket", ""), key[0], self.name):
            return reply(409, answer | {"reason": "ticket"})
        self.highest[key[0]] = key[1]
        run_ms = float(spec.get("run_ms", 300))
        if "crash_ms" in spec:
            asyncio.get_running_loop().call_later(float(spec["crash_ms"]) / 1_000, self.crash_soon)
        self.running[key] = {"begin": clock, "end": clock + run_ms, "run_ms": run_ms, "how": "done"}
        self.rig.on_start(self, key, request)
        return reply(200, answer)

    def crash_soon(self):
        self.rig.crashes.append(asyncio.create_task(self.crash(self.rig.back_s)))

    def stop_run(self, request, clock):
        key = (request["task"], request["run"])
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        run = self.running.get(key)
        if run and run["how"] != "stopped":
            run["how"], run["end"] = "stopped", clock + STOP_MS / 4
        return reply(200, {"clock_ms": int(clock)})

    async def hold(self, request):
        seen = request.get("last_seen", 0)
        if self.ended and self.ended[0][0] <= seen:
            self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and request.get("wait_ms"):
            try:
                await asyncio.wait_for(self.ended_event.wait(), min(request["wait_ms"], 2_000) / 1_000)
            except asyncio.TimeoutError:
                pass
        clock = self.clock_ms()
        percent = lambda run: max(0, min(99, int(100 * (clock - run["begin"]) / run["run_ms"])))
        running = [[task, run, "", percent(state), 0] for (task, run), state in self.running.items()]
        return reply(200, {"clock_ms": int(clock), "running": running, "finished": self.ended[:MAX_LISTED_ENDS]})


# The deployment.

class Rig:
    def __init__(self, folder, entries=3, workers=11, capacity=(128_000, 262_144, 8)):
        self.folder, self.entries, self.workers_wanted, self.capacity = folder, entries, workers, capacity
        self.record = Record(folder)
        self.net = self.free_net()
        self.service = "huvo11a"
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes, self.workers, self.starts, self.ends = {}, [], [], []
        self.store = Store(self.record)
        self.crashes, self.back_s = [], 3
        self.policy, self.kinds = None, {}
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: roles[name]["run"].split() for name in ("entry", "agent")}

    @staticmethod
    def free_net():
        for offset in range(200):
            net = f"127.{20 + (os.getpid() + offset) % 200}"
            try:
                for host, port in (("0.1", STORE_PORT), ("1.1", FRONT_PORT), ("2.1", CONTROL_PORT)):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        sys.exit(2)

    def entry_ip(self, index):
        return f"{self.net}.1.{index}"

    def agent_ip(self, index):
        return f"{self.net}.2.{index}"

    def on_start(self, worker, key, request):
        self.starts.append((now_ms(), worker.index, key, request))
        self.record.line(f"worker {worker.index}: start {key[0]} run {key[1]}")

    def on_end(self, worker, key, _run, how):
        self.ends.append((now_ms(), worker.index, key, how))
        self.record.line(f"worker {worker.index}: {how} {key[0]} run {key[1]}")

    def settings(self, name, ip, listen, extra):
        platform = {"address": self.store.address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000,
                    "parts": 12, "append_ms": APPEND_MS, "partition_mb_s": 20.0, "read_mb_s": 80.0,
                    "record_bytes": RECORD_BYTES, "call_bytes": CALL_BYTES, "keep_s": KEEP_S, "part_mb": 200,
                    "ttl_min_ms": 1000}
        bounds = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000,
                  "recovery_s": 12, "hold_max_ms": HOLD_MAX_MS, "stop_ms": STOP_MS, "gang_wait_ms": 3000,
                  "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "remote_factor": 3,
                  "reclaim_ms": 2900}
        return {"node_name": name, "ip": ip, "zone": "haiphong-a", "region": "vn-north",
                "zones": {"haiphong-a": "vn-north"}, "listen_addresses": listen, "internal_port_range": [7000, 7015],
                "seeds": [], "bootstrap": True, "heartbeat_ms": HEARTBEAT_MS, "control_mode": "call",
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260}, "bounds": bounds,
                "platform": platform} | ({"advice": self.policy.address} if self.policy else {}) | extra

    async def spawn(self, name, role, settings):
        path = self.temp / f"{name}.json"
        path.write_text(json.dumps(settings))
        log = open(self.temp / f"{name}.log", "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.temp), "SORRELLANDING_SETTINGS": str(path)}
        self.processes[name] = await asyncio.create_subprocess_exec(
            *self.commands[role], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        self.record.line(f"started {name}")

    async def spawn_entry(self, index):
        ip = self.entry_ip(index)
        listen = {"front": f"{ip}:{FRONT_PORT}", "readiness": f"{ip}:{READINESS_PORT}"}
        name = f"front-haiphong-a-{index}"
        await self.spawn(name, "entry", self.settings(name, ip, listen, {"role": "entry", "serves": ["front"]}))

    async def spawn_agent(self, index):
        ip = self.agent_ip(index)
        name = f"side-haiphong-a-{index}"
        extra = {"role": "agent", "serves": ["side"], "app": f"{ip}:{APP_PORT}", "service": self.service}
        await self.spawn(name, "agent", self.settings(name, ip, {"control": f"{ip}:{CONTROL_PORT}"}, extra))

    def route(self, name, prefix, priority=1, **more):
        return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 3000,
                "full_credit_ms": 1000, "priority": priority, "service": self.service, "max_attempts": 4,
                "stretch": 3.0, "public": False} | more

    def publish(self, version, routes):
        tenants = [{"name": "kaje80", "api_keys": [KEY], "priority": 1, "guaranteed": {"gpu": 16}}]
        services = [{"name": self.service, "health_path": "/health", "connection_limit": 64, "protocol": "h1",
                     "tls": False, "enforces_capacity": False, "standby": False}]
        self.store.write("config", {"version": version, "routes": routes, "services": services, "tenants": tenants,
                                    "limits": {"header_bytes": 16384, "body_bytes": 262144}})

    async def start(self, routes):
        await self.store.start(f"{self.net}.0.1")
        if self.policy:
            await self.policy.start(f"{self.net}.0.1")
        self.publish(1, routes)
        for index in range(1, self.workers_wanted + 1):
            self.workers.append(Worker(self, index, self.capacity))
            self.workers[-1].kind = self.kinds.get(index, "a")
            await self.workers[-1].start()
        for index in range(1, self.entries + 1):
            await self.spawn_entry(index)
        for index in range(1, self.workers_wanted + 1):
            await self.spawn_agent(index)
        await self.until("the entries are ready", 20, self.are_ready)
        # Traffic starts 10 s after the machines do.
        await asyncio.sleep(10)

    async def are_ready(self):
        calls = [call_http(self.entry_ip(index), READINESS_PORT, "GET", "/readiness") for index in range(1, self.entries + 1)]
        return all(status == 200 for status, _ in await asyncio.gather(*calls))

    async def until(self, what, seconds, check):
        deadline = time.monotonic() + seconds
        while not await check():
            if time.monotonic() > deadline:
                raise RuntimeError(f"not within {seconds} s: {what}")
            await asyncio.sleep(0.1)

    async def call(self, entry, method, path, body=None, host=HOST, key=KEY):
        headers = [("Host", host), ("X-Deadline-Ms", 3000)]
        if key:
            headers.append(("Authorization", f"Token {key}"))
        status, content = await call_http(self.entry_ip(entry), FRONT_PORT, method, path, headers, body, timeout=3.2)
        try:
            content = json.loads(content) if content else {}
        except ValueError:
            content = {}
        self.record.line(f"client: {method} {path} at entry {entry}: {status} {json.dumps(content)[:120]}")
        return status, content

    async def submit(self, path, steps, spec, more=None, attempts=5):
        """Hands a job in as clients do: again with the same ID, at another entry, after anything but 200 and 404."""
        body = {"task_spec": spec, "steps": steps} | (more or {})
        status = 0
        for attempt in range(attempts):
            status, _ = await self.call(attempt % self.entries + 1, "POST", path, body)
            if status in (200, 404):
                return status
            await asyncio.sleep(0.5)
        return status

    async def state(self, path, attempts=3):
        for attempt in range(attempts):
            status, content = await self.call(attempt % self.entries + 1, "GET", path)
            if status in (200, 410):
                return content.get("state", str(status))
        return str(status)

    async def stop(self):
        for task in self.crashes:
            task.cancel()
        for worker in self.workers:
            for task in worker.tasks:
                task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            await process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs in {self.temp}")
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


def main(folder, play, trouble, **shape):
    """Runs `play(rig, trouble)`, which returns the broken rules as texts, and exits as the scripts of this review do. `trouble`
    tells whether the disruption is played."""

    async def run():
        rig = Rig(pathlib.Path(folder), **shape)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        rig.record.say(f"trouble: {'yes' if trouble else 'no'}")
        try:
            broken = await asyncio.wait_for(play(rig, trouble), 112)
        except (RuntimeError, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            rig.record.say(f"could not run: {error!r}")
            return 2
        finally:
            await rig.stop()
        for text in broken:
            rig.record.say(f"BROKEN {text}")
        rig.record.say("result: broken" if broken else "result: held")
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
