"""A small deployment on loopback: the project's store and workers as stand-ins, and its entries and agents with the
commands of the deploy file. Ends every process that it started."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target/release/sorrellandd")
STANDIN = os.path.join(ROOT, "target/release/sorrelland-standin")
HOST, KEY = "shop.example", "key-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110


class CannotRun(Exception):
    pass


def check(condition, why):
    if not condition:
        raise CannotRun(why)


class Record:
    """What was sent, answered and run, with seconds since the start of the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.time()
        self.line("TROUBLE=%d" % TROUBLE)

    def at(self, wall=None):
        return (time.time() if wall is None else wall) - self.began

    def line(self, text, wall=None):
        self.file.write("%9.3f %s\n" % (self.at(wall), text))
        self.file.flush()


class Connection:
    """A client's connection to an entry that stays open."""

    def __init__(self, address, timeout=5.0):
        host, port = address.split(":")
        self.inner = http.client.HTTPConnection(host, int(port), timeout=timeout)

    def send(self, method, path, body=None, key=KEY, wait_ms=3000):
        headers = {"Host": HOST, "Authorization": "Token " + key, "X-Deadline-Ms": str(wait_ms)}
        data = None
        if body is not None:
            data = json.dumps(body)
            headers["Content-Type"] = "application/json"
        self.inner.request(method, path, body=data, headers=headers)

    def receive(self):
        reply = self.inner.getresponse()
        text = reply.read()
        try:
            return reply.status, json.loads(text) if text else None
        except ValueError:
            return reply.status, None

    def close(self):
        self.inner.close()


def call(address, method, path, body=None, key=KEY, wait_ms=3000):
    """Sends one request; returns status 0 if there is no answer in the client's time."""
    connection = Connection(address, wait_ms / 1000.0)
    try:
        connection.send(method, path, body, key, wait_ms)
        return connection.receive()
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()


def plain(address, method, path, body=None, timeout=3.0):
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body)
        reply = connection.getresponse()
        return reply.status, reply.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def wait_until(within, what, test):
    deadline = time.time() + within
    while time.time() < deadline:
        value = test()
        if value:
            return value
        time.sleep(0.05)
    raise CannotRun("not in time: " + what)


class Deployment:
    def __init__(self, folder, entries, workers, bounds=None):
        check(os.path.exists(DAEMON) and os.path.exists(STANDIN), "the programs are not built")
        self.record = Record(folder)
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.entries, self.workers = entries, workers
        self.bounds = {"hold_max_ms": 6000, "stop_ms": 400, "reclaim_ms": 2900, "grace_s": 6, "status_s": 120,
                       "contact_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "ack_ms": 4000}
        self.bounds.update(bounds or {})
        for _ in range(50):
            self.network = "127.%d.%d" % (random.randint(2, 250), random.randint(1, 250))
            if self.is_free(self.address(1, 7100)) and self.is_free(self.address(11, 8521)):
                break
        self.version = 0

    @staticmethod
    def is_free(address):
        host, port = address.split(":")
        with socket.socket() as probe:
            try:
                probe.bind((host, int(port)))
                return True
            except OSError:
                return False

    def address(self, host, port):
        return "%s.%d:%d" % (self.network, host, port)

    def front(self, entry):
        return self.address(10 + entry, 8521)

    def store(self):
        return self.address(1, 7100)

    def control(self, worker):
        return self.address(100 + worker, 8526)

    def spawn(self, name, args, variables=None):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment.update(variables or {})
        self.processes[name] = subprocess.Popen(args, stdout=log, stderr=log, stdin=subprocess.DEVNULL, env=environment,
                                                cwd=ROOT)
        log.close()

    def log(self, name):
        path = os.path.join(self.dir, name + ".log")
        if not os.path.exists(path):
            return ""
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def signal(self, name, number):
        self.record.line("signal %s to %s" % (signal.Signals(number).name, name))
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def start_store(self):
        self.spawn("store", [STANDIN, "platform-store", "--listen", self.store()])
        path = "/log-newest?topic=keyed.op&part=0"
        wait_until(10, "the store answers", lambda: plain(self.store(), "GET", path)[0] == 200)

    def publish(self, **changes):
        """Appends the next desired state, as the operator does."""
        self.version += 1
        route = {"name": "orders", "host": HOST, "path_prefix": "/orders/", "service": "svc", "priority": 1,
                 "max_attempts": 3, "stretch": 3.0, "full_credit_ms": 1000}
        state = {"version": self.version, "routes": [route], "services": [{"name": "svc"}],
                 "tenants": [{"name": "museum", "api_keys": [KEY], "guaranteed": {"gpu": 4}}]}
        state.update(changes)
        record = b"\x06config" + json.dumps(state).encode()
        body = struct.pack(">I", len(record)) + record
        status, _ = plain(self.store(), "POST", "/log-append?topic=keyed.op&part=0", body)
        check(status == 200, "the store took no desired state")
        self.record.line("desired state %d acknowledged by the store" % self.version)

    def settings(self, name, host, listen, app=None):
        ip = "%s.%d" % (self.network, host)
        settings = {"node_name": name, "ip": ip, "zone": "haiphong-a", "region": "vn-north", "listen_addresses": listen,
                    "internal_port_range": [7000, 7015], "heartbeat_ms": 1500, "platform": {"address": self.store()},
                    "limits": {"cpu_share": 0.25, "cores": 1}, "bounds": self.bounds}
        if app:
            settings["app"] = app
        path = os.path.join(self.dir, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        return path

    def start_role(self, role, name, path):
        args = [DAEMON, "--platform", role, "--metrics-port", "9464"]
        self.spawn(name, args, {"SORRELLANDING_SETTINGS": path})

    def start_entry(self, entry):
        listen = {"front": self.front(entry), "readiness": self.address(10 + entry, 8523)}
        name = "entry-%d" % entry
        self.start_role("entry", name, self.settings(name, 10 + entry, listen))

    def start_agent(self, worker, app=None):
        name = "agent-%d" % worker
        app = app or self.address(100 + worker, 8000)
        self.start_role("agent", name, self.settings(name, 100 + worker, {"control": self.control(worker)}, app))

    def start_worker(self, worker, life=1):
        args = [STANDIN, "platform-worker", "--listen", self.address(100 + worker, 8000), "--announce",
                self.control(worker), "--name", "w-%d-%d" % (worker, life), "--rack", "r%d" % ((worker - 1) // 3 + 1)]
        self.spawn("worker-%d" % worker, args)

    def start(self):
        self.start_store()
        self.publish()
        for entry in range(1, self.entries + 1):
            self.start_entry(entry)
        for worker in range(1, self.workers + 1):
            self.start_worker(worker)
            self.start_agent(worker)
        for entry in range(1, self.entries + 1):
            self.await_ready(entry)
        self.await_workers()

    def await_ready(self, entry):
        address = self.address(10 + entry, 8523)
        wait_until(20, "entry %d is ready" % entry, lambda: plain(address, "GET", "/readiness")[0] == 200)

    def await_workers(self):
        leader = wait_until(10, "an entry leads", self.leader)

        def joined():
            return len({line.split("worker=")[1].split(" ")[0] for line in self.log("entry-%d" % leader).splitlines()
                        if "event=worker_joined" in line}) >= self.workers
        wait_until(20, "all workers are known", joined)

    def leader(self):
        """Returns the entry that leads, by its log."""
        for entry in range(1, self.entries + 1):
            log = self.log("entry-%d" % entry)
            if log.count("event=office_taken") > log.count("event=office_ended"):
                return entry
        return None

    def call(self, entry, method, path, body=None, wait_ms=3000):
        status, reply = call(self.front(entry), method, path, body, wait_ms=wait_ms)
        shape = "" if body is None else " " + json.dumps(body)[:160]
        self.record.line("%s %s to entry-%d%s -> %s %s" % (method, path, entry, shape, status or "no answer",
                                                           "" if reply is None else json.dumps(reply)[:120]))
        return status, reply

    def submit(self, entries, job, body, within=20, prefix="/orders/"):
        """Hands a job in until it is accepted, at the given entries in turn."""
        deadline, turn = time.time() + within, 0
        while time.time() < deadline:
            if self.call(entries[turn % len(entries)], "POST", prefix + job, body)[0] == 200:
                return time.time()
            turn += 1
            time.sleep(0.1)
        raise CannotRun("%s was not accepted" % job)

    def events(self, job=""):
        """Returns starts and ends of the workers as (wall seconds, worker, event, fields)."""
        events = []
        for name in sorted(self.processes):
            if not name.startswith("worker-"):
                continue
            for line in self.log(name).splitlines():
                if not line.startswith("at_ms=") or job not in line:
                    continue
                head, _, rest = line.partition(" spec=")
                fields = dict(word.split("=", 1) for word in head.split(" ") if "=" in word)
                events.append((int(fields["at_ms"]) / 1000.0, name, fields.get("event", ""), fields))
        return sorted(events, key=lambda event: event[0])

    def write_events(self, job=""):
        for at, name, event, fields in self.events(job):
            if event in ("started", "ended", "crashed", "left", "born"):
                detail = " ".join("%s=%s" % (key, fields[key]) for key in ("task", "run", "n", "how") if key in fields)
                self.record.line("seen at %s: %s %s" % (name, event, detail), at)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP"):
            print(self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def main(folder, entries, workers, body, **options):
    """Runs a case: `body` returns the reasons why the rule is broken. Exits with 1, 0, or 2 if it couldn't run."""
    def stop(*_):
        raise CannotRun("ended by a signal, or it took too long")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(LIMIT_S)
    deployment = None
    try:
        deployment = Deployment(folder, entries, workers, **options)
        deployment.start()
        broken = body(deployment)
        for reason in broken:
            deployment.record.line("BROKEN " + reason)
            print(reason)
        code = 1 if broken else 0
        deployment.record.line("exit %d" % code)
    except Exception as error:  # Whatever else happens is no result.
        if deployment:
            deployment.record.line("couldn't run: %r" % error)
        print("couldn't run: %r" % error, file=sys.stderr)
        code = 2
    finally:
        if deployment:
            deployment.close()
    sys.exit(code)
