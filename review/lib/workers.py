"""Stand-in for the platform's workers, as PROTOCOL.md describes them: leases, fencing tokens, numbered ends, gangs.

A spec such as `gang=2 run_ms=500` sets a gang's size and the time of work. While a worker is grey, each run there fails
`FAIL_MS` after it began to work. The members of a gang learn of another member's end `NOTICE_MS` later."""

import http.client
import http.server
import json
import re
import threading
import time

HEARTBEAT_S = 1.5
TICK_S = 0.004
FAIL_MS = 300
NOTICE_MS = 15
GANG_WAIT_MS = 3000


class Gangs:
    """Members of gangs that are present, and how their runs ended."""

    def __init__(self):
        self.lock = threading.Lock()
        self.by_run = {}

    def of(self, task, run):
        step = task.rsplit(".", 1)[0]
        return self.by_run.setdefault((step, run), {"members": set(), "full_at": None, "end": None})


class Worker:
    def __init__(self, name, address, control, rack, gangs, capacity=(128000, 262144, 8), hold_max_ms=6000,
                 stop_ms=100):
        self.name, self.address, self.control, self.rack, self.gangs = name, address, control, rack, gangs
        self.capacity, self.hold_max_ms, self.stop_ms = capacity, hold_max_ms, stop_ms
        self.began = time.monotonic()
        self.changed = threading.Condition()
        self.token, self.lease_end, self.count, self.sequence = 0, 0, 0, 0
        self.running, self.finished, self.highest = {}, [], {}
        self.is_grey, self.is_stopped = False, False
        self.events = []
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_POST(self):
                raw = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                status, reply = worker.handle(self.path, self.headers.get("X-Expected-Instance"), raw)
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass

        host, port = address.split(":")
        self.server = Server((host, int(port)), Handler)
        for target in (self.server.serve_forever, self.run_ticks, self.run_checkins):
            threading.Thread(target=target, daemon=True).start()

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def note(self, event, task, run, how=""):
        self.events.append((time.time(), self.name, event, {"task": task, "run": str(run), "how": how}))

    def handle(self, path, expected, raw):
        if expected is not None and expected != self.name:
            return 421, {}
        try:
            call = json.loads(raw)
        except ValueError:
            return 400, {}
        with self.changed:
            if call.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.token = call.get("fencing_token", 0)
            if "deadline_ms" in call:
                self.lease_end = max(self.lease_end, min(call["deadline_ms"], self.clock() + self.hold_max_ms))
            if path == "/run-start":
                return self.start(call)
            if path == "/run-stop":
                return self.stop(call)
            if path == "/hold":
                return self.hold(call)
        return 404, {}

    def start(self, call):
        task, run, now = call["task"], call["run"], self.clock()
        if (task, run) in self.running:
            return 200, {"clock_ms": now}
        if self.highest.get(task, 0) >= run:
            return 409, {"clock_ms": now, "reason": "old"}
        if now >= self.lease_end:
            return 409, {"clock_ms": now, "reason": "late"}
        spec = call["task_spec"]
        number = {key: int(value) for key, value in re.findall(r"(\w+)=(\d+)", spec)}
        self.highest[task] = run
        self.running[(task, run)] = {"at": time.monotonic(), "run_ms": number.get("run_ms", 300),
                                     "size": number.get("gang", 1), "stop_at": None}
        with self.gangs.lock:
            gang = self.gangs.of(task, run)
            gang["members"].add(task)
            if gang["full_at"] is None and len(gang["members"]) >= number.get("gang", 1):
                gang["full_at"] = time.monotonic()
        self.note("started", task, run)
        return 200, {"clock_ms": now}

    def stop(self, call):
        task, run = call["task"], call["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        entry = self.running.get((task, run))
        if entry and entry["stop_at"] is None:
            entry["stop_at"] = time.monotonic() + self.stop_ms / 1000.0
        return 200, {"clock_ms": self.clock()}

    def hold(self, call):
        self.finished = [end for end in self.finished if end[0] > call.get("last_seen", 0)]
        if not self.finished and call.get("wait_ms"):
            self.changed.wait(min(call["wait_ms"], 2000) / 1000.0)
        running = [[task, run, "", 0, 0] for task, run in self.running]
        return 200, {"clock_ms": self.clock(), "running": running, "finished": self.finished[:500]}

    def end_of(self, task, run, entry, now):
        """Returns how a run ends now, or None."""
        if self.clock() >= self.lease_end:
            return "lapsed"
        if entry["stop_at"] is not None and now >= entry["stop_at"]:
            return "stopped"
        with self.gangs.lock:
            gang = self.gangs.of(task, run)
            if gang["full_at"] is not None and self.is_grey and now >= gang["full_at"] + FAIL_MS / 1000.0:
                how = "failed"
            elif gang["end"] is not None and now >= gang["end"][1] + NOTICE_MS / 1000.0:
                return "done" if gang["end"][0] == "done" else "broken"
            elif gang["full_at"] is not None and now >= gang["full_at"] + entry["run_ms"] / 1000.0:
                how = "done" if gang["end"] is None or gang["end"][0] == "done" else None
            elif gang["full_at"] is None and now >= entry["at"] + GANG_WAIT_MS / 1000.0:
                how = "alone"
            else:
                return None
            if how and gang["end"] is None:
                gang["end"] = (how, now)
            return how

    def run_ticks(self):
        while not self.is_stopped:
            time.sleep(TICK_S)
            with self.changed:
                now, ended = time.monotonic(), []
                for (task, run), entry in list(self.running.items()):
                    how = self.end_of(task, run, entry, now)
                    if how:
                        del self.running[(task, run)]
                        self.count += 1
                        self.finished.append([self.count, task, run, how, ""])
                        self.note("ended", task, run, how)
                        ended.append(task)
                if ended:
                    self.changed.notify_all()

    def run_checkins(self):
        while not self.is_stopped:
            self.sequence += 1
            body = {"service": "svc", "address": self.address, "zone": "haiphong-a", "version": "v1", "slots": 8,
                    "state": "ready", "cold_remaining_ms": 0, "labels": ["a", self.rack], "clock_ms": self.clock(),
                    "sequence": self.sequence,
                    "capacity": {"cpu": self.capacity[0], "memory_request_mb": self.capacity[1],
                                 "gpu": self.capacity[2]}}
            host, port = self.control.split(":")
            try:
                connection = http.client.HTTPConnection(host, int(port), timeout=1)
                connection.request("PUT", "/instances/" + self.name, json.dumps(body),
                                   {"Content-Type": "application/json"})
                accepted = connection.getresponse().status == 200
                connection.close()
            except (OSError, http.client.HTTPException):
                accepted = False
            time.sleep(HEARTBEAT_S if accepted else 0.1)

    def close(self):
        self.is_stopped = True
        self.server.shutdown()
        self.server.server_close()
