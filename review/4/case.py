"""A gang that fails once, on two grey workers, has used two attempts: its job is failed for good."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import deployment as d  # noqa: E402
import workers as w  # noqa: E402

MAX_ATTEMPTS = 2
GREY = (23, 24)
GREY_S = 6.5
GANGS = w.Gangs()
WORKERS = {}
STEP = {"count": 2, "cpu": 52000, "memory_request_mb": 110000, "gpu": 8, "estimate_ms": 2500, "gang_scheduled": True}
BODY = {"task_spec": "gang=2 run_ms=2500", "steps": [STEP]}


class Deployment(d.Deployment):
    def start_worker(self, worker, life=1):
        # Three a rack, but for the last: the tightest fit for a gang of two are the workers that become grey.
        rack = "r%d" % ((worker - 1) // 3 + 1 if worker < 23 else 9)
        WORKERS[worker] = w.Worker("w-%d-%d" % (worker, life), self.address(100 + worker, 8000), self.control(worker),
                                   rack, GANGS)

    def events(self, job=""):
        events = [event for worker in WORKERS.values() for event in worker.events]
        return sorted((event for event in events if job in event[3]["task"]), key=lambda event: event[0])


def body(dep):
    route = {"name": "orders", "host": d.HOST, "path_prefix": "/orders/", "service": "svc", "priority": 1,
             "max_attempts": MAX_ATTEMPTS, "stretch": 3.0, "full_credit_ms": 1000}
    dep.publish(routes=[route])
    time.sleep(2.5)
    if d.TROUBLE:
        dep.record.line("workers %s fail all that they start" % (GREY,))
        for worker in GREY:
            WORKERS[worker].is_grey = True
    began = time.time()
    jobs = ["%016x" % (0xc0 + number) for number in range(3)]
    for job in jobs:
        dep.submit([1, 2], job, BODY)
        time.sleep(1.0)
    time.sleep(max(0.0, began + GREY_S - time.time()))
    for worker in GREY:
        WORKERS[worker].is_grey = False
    dep.record.line("all workers are sound again")
    time.sleep(8.0)
    broken = []
    states = {job: dep.call(1, "GET", "/orders/" + job)[1] for job in jobs}
    dep.write_events()
    for job in jobs:
        state = (states[job] or {}).get("state")
        failed = {}
        for _, _, event, fields in dep.events(job):
            if event == "ended" and fields["how"] == "failed":
                failed.setdefault(fields["task"], set()).add(fields["run"])
        runs = set().union(*failed.values()) if failed else set()
        most = max([len(each) for each in failed.values()] or [0])
        if state == "failed" and most < MAX_ATTEMPTS and len(runs) < MAX_ATTEMPTS:
            broken.append("LOST: %s is shown as failed, but its gang has failed in %d run, of %d attempts"
                          % (job, len(runs), MAX_ATTEMPTS))
        d.check(state in ("completed", "failed"), "%s is %s" % (job, state))
    return broken


d.Deployment = Deployment
d.main(FOLDER, 2, 24, body)
