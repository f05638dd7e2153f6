"""The first job of a wide pipeline is called off while the state service refuses the leader alone; a second later the
state service is down for longer than cancel_s. What do the controllers call the jobs after it, once it is up again?"""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from standins import CannotRun, linmsg, main, now  # noqa: E402

MACHINES = [("octa-box", "taipei-a")] * 4 + [("octa-box", "taichung-b")] * 4 + [("octa-box", "kaohsiung-c")] * 2
LANGUAGES = 40
POLL_EVERY_S = 5.0


async def scenario(d, trouble):
    cancel_s = d.settings["workers"]["cancel_s"]
    leader = await d.ready()
    others = [i for i in range(3) if i != leader]
    d.record(f"leader is controller {leader}")
    team = d.settings["teams"][0][0]
    # notify-chain: segment-build picks the recipients, a locale-render for each language, then reminder-fire.
    root = "wk-001000"
    await d.submit(d.spec(root, 400.0, herd="segment-build", owner=team, urgency="low", memGb=1.6), others[0])
    renders = [f"wk-{1001 + k:06d}" for k in range(LANGUAGES)]

    async def user_submits(node):
        for uid in renders[node::3]:
            await d.submit(d.spec(uid, 5.0, herd="locale-render", owner=team, urgency="low", memGb=1.6, waitsOn=[root]),
                           node)

    await asyncio.gather(*(user_submits(node) for node in range(3)))
    fire = "wk-002000"
    await d.submit(d.spec(fire, 5.0, herd="reminder-fire", owner=team, urgency="high", memGb=1.6, waitsOn=renders,
                          dueS=900.0), others[0])
    after = renders + [fire]
    await asyncio.sleep(2.0)
    if trouble:
        d.state.set_refused(leader, True)
        await asyncio.sleep(0.3)
    answer, told = await d.cancel(root, others[0])
    if answer.get("status") != "cancelled":
        raise CannotRun(f"the cancellation was answered with {answer}")
    d.record(f"user told at {told:.3f} that {root} is cancelled")
    if trouble:
        await asyncio.sleep(1.0)
        d.state.set_outage(True)
        d.state.set_refused(leader, False)
    await asyncio.sleep(max(0.0, told + cancel_s + 3.0 - now()))
    if trouble:
        d.state.set_outage(False)
    broken, final = [], {}
    end = now() + 15.0

    async def user(k, uid):
        """Polls every 5 s, at one controller after the other, until its job is over."""
        await asyncio.sleep(POLL_EVERY_S * k / len(after))
        node = k
        while now() < end:
            node += 1
            status, answer, sent = await d.poll(uid, node % 3)
            if status == 200 and answer["status"] in ("pending", "running") and sent > told + cancel_s:
                broken.append((uid, sent - told))
                d.record(f"orphaned: {uid} is called {answer['status']} {sent - told:.2f} s after the user was told that "
                         f"{root} is cancelled")
            if status == 200 and answer["status"] in ("cancelled", "done"):
                final[uid] = answer["status"]
                return
            await asyncio.sleep(POLL_EVERY_S)

    await asyncio.gather(*(user(k, uid) for k, uid in enumerate(after)))
    if broken:
        return (f"orphaned: {len(broken)} answers about {len({b[0] for b in broken})} of {len(after)} jobs say pending or "
                f"running, the latest {max(b[1] for b in broken):.1f} s after the user was told (cancel_s {cancel_s})")
    if len(final) != len(after) or set(final.values()) != {"cancelled"}:
        raise CannotRun(f"not all jobs are over: {len(final)} of {len(after)}")
    return None


main(__file__, linmsg(MACHINES), scenario)
