"""A sound job that was on two workers when another job crashed them waits for ever, if a lasting subtask is on each worker."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import deployment as d  # noqa: E402

WORKERS = 3
BACK_S = 2.0
FINISH_S = 14.0
LASTING, SOUND, CRASHING, LATER = ("%016x" % number for number in (0xe0, 0xe1, 0xe2, 0xe3))


def step(**fields):
    return dict({"count": 1, "cpu": 1000, "memory_request_mb": 1024, "estimate_ms": 12000}, **fields)


def restart_crashed(dep, stop):
    """Starts each crashed worker again after some seconds, under a new id."""
    lives, due = dict.fromkeys(range(1, WORKERS + 1), 1), {}
    while not stop.is_set():
        time.sleep(0.05)
        for worker in lives:
            if dep.processes["worker-%d" % worker].poll() is not None and worker not in due:
                due[worker] = time.time() + BACK_S
                dep.record.line("worker-%d has crashed" % worker)
            if worker in due and time.time() >= due[worker]:
                del due[worker]
                lives[worker] += 1
                dep.start_worker(worker, lives[worker])
                dep.record.line("worker-%d is back" % worker)


def body(dep):
    stop = threading.Event()
    thread = threading.Thread(target=restart_crashed, args=(dep, stop), daemon=True)
    thread.start()
    lasting = step(count=WORKERS, long_running=True, anti_affinity=1)
    dep.submit([1, 2], LASTING, {"task_spec": "run_ms=600000", "steps": [lasting]})
    d.wait_until(10, "a lasting subtask is on each worker",
                 lambda: len([1 for event in dep.events(LASTING) if event[2] == "started"]) == WORKERS)
    dep.submit([1, 2], SOUND, {"task_spec": "run_ms=12000", "steps": [step(gpu=1)]})
    time.sleep(1.0)
    spec = "crashes run_ms=1000" if d.TROUBLE else "run_ms=1000"
    dep.submit([1, 2], CRASHING, {"task_spec": spec, "steps": [step(gpu=1, estimate_ms=1000)]})
    if d.TROUBLE:
        d.wait_until(25, "two workers have crashed",
                     lambda: len([1 for event in dep.events() if event[2] == "crashed"]) >= 2)
    time.sleep(BACK_S + 1.0)
    # The traffic ends with a job like the sound one.
    dep.submit([1, 2], LATER, {"task_spec": "run_ms=2000", "steps": [step(gpu=1, estimate_ms=2000)]})
    ended = time.time()
    time.sleep(FINISH_S + 16.0)
    stop.set()
    thread.join()
    for job in (LASTING, SOUND, CRASHING, LATER):
        dep.call(1, "GET", "/orders/" + job)
    dep.write_events()
    broken = []
    for job in (SOUND, LATER):
        events = dep.events(job)
        last = max([at for at, _, event, _ in events] or [0.0])
        if any(fields.get("how") == "done" for _, _, _, fields in events):
            continue
        crashes = [at for at, _, event, _ in dep.events() if event == "crashed"]
        running = [at for at, _, event, _ in events if event == "started" and not [c for c in crashes if c >= at]]
        if not running:
            idle = time.time() - max([ended] + [last])
            broken.append("LOST: job %s has had nothing running for %.1f s, beside three workers with 7 free accelerators "
                          "or more each" % (job, idle))
    return broken


d.main(FOLDER, 2, WORKERS, body)
