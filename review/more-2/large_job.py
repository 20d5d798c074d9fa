"""A scheduled job whose stored progress outgrows a record of the store stops the whole scheduler."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
sys.dont_write_bytecode = True
import rig as r

# As in the site file of zkso-sched-grown, class fee-recon: width at most 230, at most 3.2 steps, 8 times, every 3 s.
WIDTH, STEPS, TIMES, EVERY_MS = 230, 2, 8, 3000
TRAFFIC_S, FINISH_S, WATCH_S = 30, 14, 4
SMALL = {"task_spec": "run_ms=300", "steps": [{"count": 3, "cpu": 1000, "memory_request_mb": 1024,
                                              "estimate_ms": 300}]}


def large_job(times):
    step = {"count": WIDTH, "cpu": 500, "memory_request_mb": 256, "estimate_ms": 300}
    steps = [dict(step, after=[number - 1]) if number else dict(step) for number in range(STEPS)]
    return {"task_spec": "run_ms=200", "steps": steps, "repetitions": times,
            "first_run_ms": int(time.time() * 1000), "interval_ms": EVERY_MS}


def case(rig):
    rig.store.put("config", r.config(1, [r.route("batch", "/batch/", priority=2), r.route("orders", "/orders/")],
                                     [r.tenant("clubs", "key-a"), r.tenant("shops", "key-b", gpu=4)]))
    rig.start()
    # Without the trouble the job runs once; its 460 subtasks fit into a record.
    times = TIMES if r.TROUBLE else 1
    accepted, expected = {}, {}
    large = r.job_id()
    began = time.monotonic()
    while time.monotonic() < began + TRAFFIC_S:
        if large not in expected and time.monotonic() > began + 2:
            expected[large] = WIDTH * STEPS * times
            if rig.submit("/batch/", large, "key-a", large_job(times)) == 200:
                accepted[large] = ("/batch/", "key-a")
        job = r.job_id()
        expected[job] = 3
        if rig.submit("/orders/", job, "key-b", SMALL) == 200:
            accepted[job] = ("/orders/", "key-b")
        time.sleep(1.0)
    rig.record.line(f"end of traffic, {len(accepted)} of {len(expected)} jobs accepted")
    if large not in accepted:
        raise r.CannotRun("the large job was not accepted")
    time.sleep(FINISH_S)
    breaches = []
    states = {}
    for job, (prefix, key) in accepted.items():
        states[job] = rig.state(prefix, job, key)
        if states[job] not in ("queued", "running", "completed"):
            breaches.append(f"LOST: {job} is shown as {states[job]} {FINISH_S} s after the end of the traffic")
    # For 3 s: nothing running, a subtask's turn has come, capacity twice over, under half of it in use.
    open_jobs = {job for job in accepted if len(rig.of_job(job, "done")) < expected[job]}
    idle, busiest = set(open_jobs), 0
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        busiest = max(busiest, rig.used())
        idle -= {job for job in idle if rig.running_of(job)}
        time.sleep(0.05)
    for job in sorted(idle, key=lambda job: job != large):
        done = len(rig.of_job(job, "done"))
        if done < expected[job] and busiest < 100:
            breaches.append(
                f"LOST: accepted job {job} ({'large' if job == large else 'small'}, shown as {states[job]}) has had "
                f"nothing running for {WATCH_S} s, with {done} of {expected[job]} subtasks done and at most {busiest} "
                f"subtasks on all workers")
    # Not part of the rule: whether its owner can cancel the large job, and whether anybody is served.
    status, _ = rig.call("DELETE", "/batch/" + large, "key-a")
    later = r.job_id()
    rig.record.line(f"afterwards: cancel of the large job {status}, "
                    f"a new job of another tenant {rig.submit('/orders/', later, 'key-b', SMALL)}")
    rig.record.line(f"store: refused appends {rig.store.refused}")
    return breaches


r.main(os.environ.get("RECORD_DIR", HERE), case)
