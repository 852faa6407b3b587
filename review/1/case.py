"""A control replica that lost its disk, and the leader is killed while it is taken in."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standin import (CannotRun, Deployment, Operator, Server, TROUBLE, as_slot, manifest,
                     request_once, run, votes)

CATCH_UP_S = 4.0     # bounds.catchUpS
RECOVERY_S = 12.0    # bounds.recoveryS
CONTACT_S = 3.0      # bounds.contactMs


def wait_for_five(d, within):
    """Waits until a leader counts five voters; returns the leader."""
    deadline = time.monotonic() + within
    while time.monotonic() < deadline:
        core, status = d.leader(1.0)
        if core and sum(v for vs in votes(status).values() for v in vs) == 5:
            return core
        time.sleep(0.1)
    return None


def serve_check(d, note):
    served = 0
    for i in range(10):
        front = d.fronts[i % len(d.fronts)]
        _, status, _ = request_once(d, front, "GET", "site.example", "/safe/x", "k1-secret")
        served += status == 200
        d.record.note(f"client: GET /safe/x at {front.name}: {status}")
        time.sleep(0.05)
    d.record.note(f"client: {served} of 10 served {note}")
    return served


def case(holder):
    d = Deployment(FOLDER)
    holder.append(d)
    record, operator = d.record, Operator(d)
    d.start()
    if not operator.put(manifest(1)):
        raise CannotRun("the first manifest is not acknowledged")
    server = Server(d, "app1", 0)
    server.announce_forever()
    leader = wait_for_five(d, 15.0)
    if leader is None:
        raise CannotRun("five replicas never vote")
    time.sleep(2.0)
    if serve_check(d, "before") < 8:
        raise CannotRun("the quiet deployment does not serve")

    # One loss: a replica that doesn't lead loses its power and its disk, and is back after a
    # second. A second loss at the same time (left out without trouble): the leader is killed, and
    # is back after half a second, with its disk.
    lost = next(c for c in reversed(d.cores) if c is not leader)
    lost.kill()
    killed_at = time.monotonic()
    lost.wipe()
    time.sleep(1.0)
    lost.start()
    time.sleep(max(0.0, killed_at + 1.3 - time.monotonic()))
    if TROUBLE:
        leader.kill()
    time.sleep(0.5)
    if TROUBLE:
        leader.start()
    # All are back: calm for more than twice catchUpS.
    time.sleep(2 * CATCH_UP_S + 2.0)
    leader, status = d.leader(10.0)
    if leader is None:
        raise CannotRun("nobody leads after the first losses")
    voting = votes(status)
    record.note("members by slot, whether each votes: "
                + str({c.name: voting.get(as_slot(c.ip)) for c in d.cores}))
    if not operator.put(manifest(2)):
        raise CannotRun("the second manifest is not acknowledged")
    if serve_check(d, "after the first losses") < 8:
        raise CannotRun("the deployment does not serve after the first losses")

    # As many replicas as may be lost at once lose their disks: two, neither of them the one
    # that lost its disk before.
    others = [c for c in d.cores if c is not lost and c is not leader][:2]
    for core in others:
        core.kill()
        core.wipe()
    time.sleep(2.0)
    for core in others:
        core.start()
    back = time.monotonic()
    time.sleep(RECOVERY_S)
    version = operator.read(within=CONTACT_S + 12.0)
    served = serve_check(d, f"{time.monotonic() - back:.0f} s after all were back")
    record.note(f"the server ran {len(server.runs)} requests in all")
    record.note(f"version read back: {version}; version acknowledged: 2")
    print(f"read back: {version}; acknowledged: 2; served at the end: {served} of 10")
    return version is None or version < 2


run(FOLDER, case)
