"""A job fails at its first failed subtask while its route is out of the desired state, however many attempts it has."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig-2"))
sys.dont_write_bytecode = True
import rig as r

MAX_ATTEMPTS, JOBS = 4, 4
# The first run of each subtask ends as failed after 4 s, the second as done.
JOB = {"task_spec": "run_ms=4000 fail_runs=1",
       "steps": [{"count": 1, "cpu": 4000, "memory_request_mb": 4096, "gpu": 1, "estimate_ms": 4000}]}


def case(rig):
    routes = [r.route("orders", "/orders/", max_attempts=MAX_ATTEMPTS), r.route("other", "/other/")]
    tenants = [r.tenant("shops", "key-a", gpu=4)]
    rig.store.put("config", r.config(1, routes, tenants))
    rig.start()
    jobs = [r.job_id() for _ in range(JOBS)]
    for job in jobs:
        if rig.submit("/orders/", job, "key-a", JOB) != 200:
            raise r.CannotRun("a job was not accepted")
    time.sleep(1.0)
    # A change of the desired state takes a route away, and the next one brings it back, as it was.
    rig.store.put("config", r.config(4, routes[1:] if r.TROUBLE else routes, tenants))
    time.sleep(5.0)
    rig.store.put("config", r.config(7, routes, tenants))
    time.sleep(15.0)
    breaches = []
    for job in jobs:
        state = rig.state("/orders/", job, "key-a")
        failed, starts = len(rig.of_job(job, "failed")), len(rig.of_job(job, "start"))
        rig.record.line(f"job {job}: {state}, {starts} starts, {failed} ended failed, of {MAX_ATTEMPTS} attempts")
        if state in ("failed", "cancelled") and failed < MAX_ATTEMPTS:
            breaches.append(f"LOST: job {job} is shown as {state} after {failed} of {MAX_ATTEMPTS} attempts")
        elif state not in ("queued", "running", "completed"):
            breaches.append(f"LOST: job {job} is answered {state}")
    return breaches


r.main(os.environ.get("RECORD_DIR", HERE), case)
