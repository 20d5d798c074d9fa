"""Runs that one guarantee covers keep the workers that another guarantee needs whole, and are never moved."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
sys.dont_write_bytecode = True
import rig as r

RECLAIM_S, WATCH_S = r.BOUNDS["reclaim_ms"] / 1000, 25
LASTS = {"cpu": 2000, "memory_request_mb": 2000, "gpu": 1, "estimate_ms": 60000, "long_running": True}


def wait_running(rig, job, count):
    deadline = time.monotonic() + 15
    while rig.running_of(job) < count:
        if time.monotonic() > deadline:
            raise r.CannotRun(f"{rig.running_of(job)} of {count} subtasks of {job} run")
        time.sleep(0.1)


def case(rig):
    rig.store.put("config", r.config(
        1, [r.route("serve", "/serve/", priority=1), r.route("urgent", "/urgent/", priority=0, stretch=1.5)],
        [r.tenant("guest", "key-g"), r.tenant("small", "key-s", gpu=3), r.tenant("large", "key-l", gpu=16)]))
    rig.start()
    guest = r.job_id()
    if r.TROUBLE:
        # What is idle is used: 7 of the 8 GPUs of each worker.
        rig.submit("/serve/", guest, "key-g", {"task_spec": "lasts", "steps": [dict(LASTS, count=21, anti_affinity=7)]})
        wait_running(rig, guest, 21)
    for _ in range(3):
        small = r.job_id()
        rig.submit("/urgent/", small, "key-s", {"task_spec": "lasts", "steps": [dict(LASTS, count=1)]})
        wait_running(rig, small, 1)
    if r.TROUBLE:
        rig.call("DELETE", "/serve/" + guest, "key-g")
        time.sleep(3)
    time.sleep(2)
    large = r.job_id()
    body = {"task_spec": "run_ms=2000", "steps": [{"count": 2, "cpu": 16000, "memory_request_mb": 16000, "gpu": 8,
                                                  "estimate_ms": 2000}]}
    if rig.submit("/urgent/", large, "key-l", body) != 200:
        raise r.CannotRun("the large job was not accepted")
    acknowledged = rig.record.now()
    while rig.record.now() < acknowledged + WATCH_S and len(rig.of_job(large, "done")) < 2:
        time.sleep(0.05)
    starts = sorted(event[0] - acknowledged for event in rig.of_job(large, "start"))
    rig.record.line(f"large job {large}: subtasks began {[round(s, 2) for s in starts]} s after its acknowledgement")
    if len(starts) == 2 and starts[1] <= RECLAIM_S:
        return []
    return [f"RECLAIM: job {large} of priority 0 needs 16 GPUs of the 16 guaranteed to its tenant; {len(starts)} of its "
            f"2 subtasks have begun {rig.record.now() - acknowledged:.0f} s after its acknowledgement; {rig.used()} "
            f"subtasks of 1 GPU run on 3 workers with 8 GPUs each"]


r.main(os.environ.get("RECORD_DIR", HERE), case)
