"""Accepted jobs of a queue that a later desired state drops are never finished."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import deployment as d  # noqa: E402

FINISH_S = 14.0
STEP = {"count": 1, "cpu": 1000, "memory_request_mb": 1024, "gpu": 1, "estimate_ms": 3000}
BODY = {"task_spec": "run_ms=3000", "steps": [STEP, dict(STEP, after=[0])]}
JOBS = ["%016x" % (0xb0 + number) for number in range(4)]


def route(name):
    return {"name": name, "host": d.HOST, "path_prefix": "/%s/" % name, "service": "svc", "priority": 1,
            "max_attempts": 3, "stretch": 3.0, "full_credit_ms": 1000}


def body(dep):
    dep.publish(routes=[route("orders"), route("reports")])
    time.sleep(2.5)
    for job in JOBS:
        dep.submit([1, 2], job, BODY, prefix="/reports/")
    time.sleep(1.0)
    kept = [route("orders")] if d.TROUBLE else [route("orders"), route("reports")]
    dep.publish(routes=kept)
    ended = time.time()
    other = "%016x" % 0xbf
    dep.submit([1, 2], other, BODY)
    # The traffic has ended. The first steps end after 2 s; then the turn of the second ones has come.
    time.sleep(max(0.0, ended + FINISH_S - time.time()))
    dep.call(1, "GET", "/orders/" + other)
    for job in JOBS:
        dep.call(1, "GET", "/reports/" + job)
    time.sleep(4.0)
    dep.write_events()
    broken = []
    for job in JOBS + [other]:
        events = dep.events(job)
        last = max([at for at, _, _, _ in events] or [0.0])
        done = {fields["task"] for _, _, event, fields in events if event == "ended" and fields.get("how") == "done"}
        running = [event for _, _, event, _ in events].count("started") > len([e for e in events if e[2] == "ended"])
        if len(done) < 2 and not running:
            broken.append("LOST: job %s has had nothing running for %.1f s, its next subtask waits, all workers are free"
                          % (job, time.time() - last))
    return broken


d.main(FOLDER, 2, 3, body)
