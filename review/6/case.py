"""On a queue with `advice`, the scheduler asks about workers by a name of its own once they state `born`."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
sys.dont_write_bytecode = True
import rig as r

FINISH_S, WATCH_S = 14, 4
JOB = {"task_spec": "run_ms=500", "steps": [{"count": 2, "cpu": 4000, "memory_request_mb": 4096, "gpu": 1,
                                            "estimate_ms": 500}]}


def hand_in(rig, accepted, count):
    for _ in range(count):
        job = r.job_id()
        if rig.submit("/orders/", job, "key-a", JOB) == 200:
            accepted.append(job)
        time.sleep(0.5)


def case(rig):
    advice = {"decide_ms": 20, "each_ms": 2, "valid_ms": 3000}
    rig.store.put("config", r.config(1, [r.route("orders", "/orders/", advice=advice)],
                                     [r.tenant("shops", "key-a", gpu=8)]))
    rig.start()
    accepted = []
    hand_in(rig, accepted, 4)
    time.sleep(3)
    before = len([job for job in accepted if rig.state("/orders/", job, "key-a") == "completed"])
    if before < 4:
        raise r.CannotRun(f"only {before} of 4 jobs completed before the release")
    # The workers of the service are replaced one after the other; the new ones state `born`, as the letter says.
    for index in sorted(rig.workers):
        rig.replace_worker(index, version="v2", born=r.TROUBLE)
        time.sleep(1.5)
    time.sleep(3)
    hand_in(rig, accepted, 6)
    rig.record.line(f"end of traffic, {len(accepted)} jobs accepted")
    time.sleep(FINISH_S)
    states = {job: rig.state("/orders/", job, "key-a") for job in accepted}
    idle, busiest = {job for job in accepted if len(rig.of_job(job, "done")) < 2}, 0
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        busiest = max(busiest, rig.used())
        idle -= {job for job in idle if rig.running_of(job)}
        time.sleep(0.05)
    return [f"LOST: accepted job {job}, shown as {states[job]}, has had nothing running for {WATCH_S} s, "
            f"{FINISH_S} s after the end of the traffic, with {len(rig.of_job(job, 'start'))} starts so far, at most "
            f"{busiest} subtasks on 3 workers with 8 GPUs each, and a policy that admits every worker"
            for job in accepted if job in idle and busiest < 6]


r.main(HERE, case, advice=True)
