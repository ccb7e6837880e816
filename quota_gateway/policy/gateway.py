"""The decisions of a gateway. The types it takes and returns are in `quota_gateway.policy_api`.

A gateway serves many customers, whose quotas hold over all gateways together. `Quota` decides how much of a
customer's demand goes on, `Fleet` which server gets it, and `Gateway` follows each request to its one final
answer. Times are milliseconds, rates are units a second. README.md tells the design.
"""

from __future__ import annotations

import hashlib
import heapq
import math
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field

from quota_gateway.policy_api.actions import (
    Action,
    Fail,
    IncrementCounter,
    LogEvent,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    ClientDisconnected,
    CounterReply,
    Event,
    Request,
    ResponseStarted,
    TimerFired,
)
from quota_gateway.settings import DeduplicationScope, Idempotency, Plan, RequestClass, Settings

WINDOW_S = 1.0  # the fill's window: what a store holds is offered to the demand of this long
SPEND_S = 0.4
IDLE_MS = 60_000.0  # a customer unseen for this long is forgotten, by the counter too
CALL_GAP_MS = 100.0  # least time between two calls for one customer
LEARNED = 4.0  # requests that the counter told of after which their shares count as much as even ones
TOLD_KEPT = 0.85  # of older words at each new one: the busy gateways of a customer change
WITH_ROOM = 0.1  # weight of the last request that asked, in the share of them that found room
MUTE_AFTER = 3  # calls in a row without an answer after which the counter counts as mute
LEAST_SHARE = 0.1  # of the unsure requests, at least this share asks
MEND = 0.25  # share of a burst by which a count may lag behind a full store before a call puts it right
MEND_TIMES = 4.0  # time-outs of the counter in which a count is put right once: see `Quota.claim`
COUNTED = 0.5  # share of a ceiling's burst that the counter holds; gateways' even parts hold the rest
OPEN_FILL = 0.6  # share of an open cap that a steady flow fills at most: what is out comes in clumps
LEAST_PART = 2.0  # requests that a part of a store holds at least, however many share it
MUTE_RETRY_MS = 500.0  # a mute counter is tried this often
MUTE_SPACING_MS = 5.0  # and by all gateways together no more often than this
FEW = 4.0  # attempts out below which they tell nothing of the fleet
ANSWERS = 8  # answers that a judgement of V needs ...
TOLERATED = 0.5  # median time of answers against their aims that V settles at in overload
MOST_SPAN_S = 4.0  # ... or this long
RATE_S = 3.0  # the rate of answers is taken over this long
COLD_S = 3.0  # see Fleet.slow_start_rate
OPEN_TURN = 1.0  # of the time that a cold server bears overload: what lies unused for longer lapses
TIES = 0.8  # a cold server whose turn it is goes before warm ones that are as good
FEW_FIT = 6.0  # requests that a budget holds at least for their sum to stay near its mean
SUBSET = 20  # servers that a gateway keeps to: as many as the largest fleet had when all gateways used all
AWAY = 2.0  # mean service times that these must be slower by before another is worth a handshake
CHOICES = 4  # others that are then looked at: a few drawn at random do nearly as well as all
REBUILT = 40  # a ring of which more than one in so many changes is sorted anew: each insertion moves its rest
FORGIVEN = 0.01  # share of failures below which a server counts as sound again
GOLDEN = 0.5 * (math.sqrt(5.0) - 1.0)
TICK_MS = 250.0  # how often pressure is judged and held requests are looked at
DID_NOT_RUN = (CallOutcome.REJECTED, CallOutcome.UNREACHABLE, CallOutcome.NOT_SENT)


@dataclass(slots=True)
class Customer:
    """What this gateway knows of one customer."""

    key: str
    plan: Plan
    spread: int
    at: float  # when the stores were last brought up to date
    store: float  # what the customer's global store is thought to hold
    most: float  # what it held at the last word, filled since: the others can only have taken from it
    part: float  # what this gateway's part of it holds; counts while the counter is mute
    guard: float  # this gateway's part of the ceiling's store
    seen: float
    credit: float = 1.0  # a trickle's share adds up here until it makes a request
    own: float = 0.0  # own demand, units a second
    others: float = 0.0  # the other gateways' use, units a second
    open: int = 0  # own attempts out
    size: float = 1.0  # its largest request, units
    told_own: float = 0.0  # of the units that the counter told of lately, the own ones ...
    told_all: float = 0.0  # ... and all of them
    phase: float = 0.0  # where its windows start; customers differ, or all would be asked for at once
    span: float = 1000.0  # length of its windows
    window: float = -math.inf  # start of the window whose name on the counter is in use
    name: int = 0  # the counter's name for that window: units sent on or asked for, by all gateways
    fresh: float = 0.0  # own units not yet added
    under_way: int = 0  # calls without an answer so far
    flying: float = 0.0  # units of those calls, but for requests that wait for the answer
    mine: float = 0.0  # own units added since the last answer
    total: float = 0.0  # the last total
    total_at: float = -1e9
    called_at: float = -1e9
    claiming: bool = False  # a claim to put the count right has no answer yet


@dataclass(slots=True)
class Call:
    """A call to the counter that has no answer yet."""

    customer: Customer
    window: float
    amount: float
    asked: float = 0.0  # units in it of the request that waits for the answer
    waits: str | None = None  # that request
    mended: float = 0.0  # units in it that nobody used
    claim: bool = False  # it only claims the right to put the count right by `mended`


class Quota:
    """Which requests go on: stores, fill, the ceiling's guard, the cap on open attempts, the counter."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.plans = {plan.name: plan for plan in settings.plans}
        self.customers: dict[str, Customer] = {}  # the longest unseen first
        self.due: dict[str, Customer] = {}  # those with units to tell
        self.calls_out: dict[int, deque[Call]] = {}  # calls without an answer, by name
        self.started = math.inf  # when this gateway heard its first event
        self.with_room: dict[str, float] = {}  # share of a plan's requests that asked and found room, lately
        self.missed = 0  # calls in a row without an answer
        self.share = 1.0  # share of the wished calls that are made; falls while the counter is crowded
        self.probe_at = 0.0  # when a mute counter may next be called
        self.hold_s = 0.2  # mean time that an attempt is out, seconds

    @property
    def mute(self) -> bool:
        """No word from the counter: each gateway keeps to its part of the quota."""
        return not self.settings.counter_enabled or self.missed >= MUTE_AFTER

    def customer(self, now: float, request: Request) -> Customer | None:
        """The customer's record; None where the plan is not known, which is read as no quota."""
        if (plan := self.plans.get(request.plan)) is None:
            return None
        found = self.customers.pop(request.customer, None)
        spread = max(1, min(request.customer_gateways, self.settings.gateway_count))
        if found is None:
            # The ceiling's store takes no notice of a restart. While quotas are kept it never holds less than
            # its burst less the quota's, as it fills faster; half of that and the slack are thus there if all
            # gateways restart at once, and once more before the store has filled again.
            spare = 0.5 * max(0.0, plan.hard_limit_burst - plan.burst) if plan.burst else 0.0
            spare += plan.hard_limit_slack + plan.hard_limit_rate * (now - self.started) / 1000.0
            guard = min(plan.hard_limit_burst * (1.0 - COUNTED), spare) / spread
            found = Customer(request.customer, plan, spread, now, plan.burst, plan.burst, 0.0, guard, now)
            found.part = self.part(found)
            found.phase = stable(request.customer) / 2.0**63
        self.customers[request.customer] = found
        found.spread, found.seen, found.size = spread, now, max(found.size, request.units)
        self.refresh(now, found)
        return found

    def refresh(self, now: float, c: Customer) -> None:
        """Brings the stores and rates up to the present, and the counter's names to the window in force."""
        plan = c.plan
        c.span = IDLE_MS if plan.rate else 1000.0 * WINDOW_S
        start = (math.floor(now / c.span + c.phase) - c.phase) * c.span  # to the last bit, whatever the time
        if start > c.window:
            # A name holds the use since its window began, so that any word says how much of the store is gone
            # however long ago the last word was. The longer it lives, the seldomer a store starts unknown.
            self.elapse(start, c)
            c.window, c.name = start, stable(f"{c.key}/{start:.0f}")
            c.total = c.mine = c.flying = 0.0
            c.most = plan.burst
            c.fresh = max(0.0, c.fresh)
            c.under_way, c.claiming = 0, False
        self.elapse(now, c)

    def elapse(self, now: float, c: Customer) -> None:
        """Fills and drains the stores up to a moment."""
        dt = (now - c.at) / 1000.0
        if dt <= 0:
            return
        plan = c.plan
        # The others' use is expected to go on as last heard, less surely as that grows old: a surge of
        # theirs that has ended must not keep the store empty for customers who can't renew the word.
        age = max(0.0, c.at - c.total_at) / 1000.0
        drain = 0.0 if self.mute else c.others * math.exp(min(0.0, 1.5 - age))
        drain = min(drain * min(dt, WINDOW_S), c.store)
        c.most = min(max(c.most, plan.burst), c.most + plan.rate * dt)
        c.store = min(max(c.store, plan.burst), c.store - drain + plan.rate * dt)
        rate = (plan.rate or OPEN_FILL * plan.max_in_flight / self.hold_s) * self.lot(c)
        c.part = min(max(c.part, self.part(c)), c.part + rate * dt)
        most = max(plan.hard_limit_burst * (1.0 - COUNTED) / c.spread, c.guard)
        c.guard = min(most, c.guard + plan.hard_limit_rate * (1.0 - 0.5 * COUNTED) / c.spread * dt)
        c.own *= math.exp(-dt / WINDOW_S)
        c.at = now

    def part(self, c: Customer) -> float:
        """The most that this gateway's part of a store holds."""
        return max((c.plan.burst or c.plan.max_in_flight) * self.lot(c), LEAST_PART * c.size)

    def lot(self, c: Customer) -> float:
        """This gateway's lot of a quota while no word comes: an even one, moved towards the share of the
        customer's use that came this way by the last words. Requests come in unevenly, and even parts left
        room at one gateway while another refused."""
        few = LEARNED * c.size
        return (c.told_own + few / c.spread) / (c.told_all + few)

    def room(self, c: Customer) -> float:
        """What the customer's quotas are thought to let in at once, in units or attempts."""
        left = c.store if c.plan.rate else math.inf
        if c.plan.max_in_flight:
            left = min(left, c.plan.max_in_flight - c.open - c.others * self.hold_s)
        return left

    def unsure(self, now: float, c: Customer, units: float) -> bool:
        """Whether a request needs a word of the moment: the others may have used what is left. Few gateways
        hear often and seldom need one; of hundreds, each sees a customer once in a window or never."""
        room = self.room(c)
        if self.mute or room == math.inf or c.under_way or now - c.called_at < CALL_GAP_MS / self.share:
            return False
        empty = c.plan.rate and c.most < units  # whatever the others did
        return (max(0.0, c.fresh) + units) * c.spread >= 0.5 * room and not empty

    def ask(self, now: float, c: Customer, request: Request) -> IncrementCounter | None:
        """The call that an unsure request waits for; of a crowd only a share ask, each for its likes."""
        if self.rng.random() > self.share:
            return None
        return self.call(now, c, request.units / self.share, request.request_id)

    def assured(self, c: Customer, asked: bool) -> bool:
        """Whether the count alone keeps a request under the ceiling: what it lets in it takes from the store,
        whose burst has to fit into the counted share of the ceiling's."""
        return asked and 0.0 < c.plan.burst <= COUNTED * c.plan.hard_limit_burst + c.plan.hard_limit_slack

    def admit(self, now: float, c: Customer, units: float, asked: bool, blind: bool) -> float | None:
        """None to send the request on, else the time in which a refused client should stay away."""
        blind = blind or self.mute  # without a word it keeps to its part, or each would spend the quota
        c.own += units / WINDOW_S
        plan = c.plan
        wait: float | None = None
        if plan.hard_limit_rate and c.guard < units and not self.assured(c, asked):
            wait = (units - c.guard) / plan.hard_limit_rate * c.spread * 1000.0
        elif plan.rate:
            store = min(max(c.part, self.spare(now, c)), c.store) if blind else c.store
            fraction = min(1.0, (plan.rate + max(0.0, store) / SPEND_S) / max(c.own + c.others, 1e-9))
            c.credit = min(c.credit + fraction * units, 2.0 * units)
            # A word of the moment puts the requests of all gateways in a row; no share is needed then.
            if store < units or (c.credit < units and not asked):
                wait = max(0.0, units - store) / plan.rate * 1000.0
            elif (
                blind
                and not self.mute
                and c.total_at < 0.0
                and self.rng.random() > self.with_room.get(plan.name, 1.0)
            ):  # never heard of
                wait = units / plan.rate * 1000.0  # beyond the quota as likely as those that asked were
            if asked:
                room = self.with_room.get(plan.name, 1.0)
                self.with_room[plan.name] = room + WITH_ROOM * ((wait is None) - room)
        if wait is None and plan.max_in_flight:
            # The cap, as a rate: what leaves as fast as answers come. Of more demand its share goes on.
            fraction = OPEN_FILL * plan.max_in_flight / max((c.own + c.others) * self.hold_s, 1e-9)
            full = c.open >= max(1, plan.max_in_flight // c.spread) and self.room(c) < 1.0
            if blind:
                full = c.part < units and c.open >= plan.max_in_flight // c.spread
            if self.rng.random() > fraction if asked else full:
                wait = self.hold_s * 1000.0
        return wait

    def give_back(self, now: float, c: Customer, units: float) -> list[Action]:
        """Takes a refused request off the count, in which its call had put it. At once: one of many gateways
        may not see the customer again for long, and until then the total would hold what never went on."""
        self.refresh(now, c)
        c.fresh -= units / self.share
        return [] if self.mute else [self.call(now, c)]

    def spare(self, now: float, c: Customer) -> float:
        """What the last word leaves to those that get none in a crowd, for as long as a store takes to fill:
        all but half a burst, which is left to the requests of the others that asked."""
        told = c.plan.rate and now - c.total_at < 1000.0 * c.plan.burst / c.plan.rate
        return c.store - 0.5 * c.plan.burst if told and not self.mute else 0.0

    def take(self, c: Customer, units: float, counted: bool, asked: bool) -> None:
        """Books a request that goes on."""
        c.credit -= units
        c.store = max(0.0, c.store - units)
        c.most = max(0.0, c.most - units)
        c.part = max(0.0, c.part - units)
        if not self.assured(c, asked):
            c.guard -= units
        if self.settings.counter_enabled and not counted:
            c.fresh += units
            self.due[c.key] = c

    def call(
        self, now: float, c: Customer, asked: float = 0.0, waits: str | None = None, mended: float = 0.0
    ) -> IncrementCounter:
        """A call that tells what is new of a customer."""
        amount = round(c.fresh + asked + mended, 3)
        self.calls_out.setdefault(c.name, deque()).append(Call(c, c.window, amount, asked, waits, mended))
        c.flying += amount - asked
        c.fresh, c.called_at = 0.0, now
        c.under_way += 1
        if self.missed >= MUTE_AFTER:
            self.probe_at = now + max(MUTE_RETRY_MS, self.settings.gateway_count * MUTE_SPACING_MS)
        return IncrementCounter(c.name, amount, IDLE_MS)

    def calls(self, now: float, c: Customer) -> list[Action]:
        """Tells the counter what is new of a customer, the sooner the nearer its store is to empty."""
        self.refresh(now, c)
        if c.fresh <= 0:
            self.due.pop(c.key, None)
        if c.under_way or c.fresh <= 0:
            return []
        urgent = c.fresh * c.spread >= 0.5 * self.room(c)
        calm = c.store - c.fresh * c.spread > 0.5 * c.plan.burst > 0
        gap = (CALL_GAP_MS if urgent else 2000.0 if calm else 1000.0) / self.share
        if now < self.probe_at if self.mute else now - c.called_at < gap:
            return []
        return [self.call(now, c)]

    def counted(self, now: float, reply: CounterReply) -> tuple[str | None, list[Action]]:
        """An answer. Returns the request that waits for it, and what else is to be done."""
        if not (calls := self.calls_out.get(reply.key)):
            return None, []
        call = calls.popleft()
        if not calls:
            del self.calls_out[reply.key]
        c = call.customer
        self.refresh(now, c)
        current = call.window == c.window
        if call.claim:
            return None, self.claimed(now, call, reply) if current else []
        if current:
            c.under_way -= 1
            c.flying -= call.amount - call.asked
        if reply.outcome is not CallOutcome.OK:
            if self.missed < MUTE_AFTER:  # a mute counter is no crowd; it is tried at a pace of its own
                self.share = max(LEAST_SHARE, 0.8 * self.share)
            self.missed += 1
            if current and reply.outcome is CallOutcome.TIMEOUT:
                c.mine += call.amount  # it may have been added, and adding it twice would be worse
            elif current:
                c.fresh += call.amount - call.asked - call.mended
            return call.waits, []
        self.missed = 0
        # A slow answer tells of a crowd before any call is turned away; work on unheard answers is wasted.
        factor = 1.02 if reply.duration_ms < 0.5 * self.settings.counter_timeout_ms else 0.92
        self.share = min(1.0, max(LEAST_SHARE, factor * self.share))
        return call.waits, self.heard(now, c, call, reply.total) if current else []

    def heard(self, now: float, c: Customer, call: Call, total: float) -> list[Action]:
        """A total: its rise beyond the own part is the others' use, and against what has filled the store
        since the window began it tells what the store holds."""
        c.mine += call.amount - call.mended
        rise = total - c.total - call.mended - c.mine
        dt = max(now - max(c.total_at, c.window), 1.0) / 1000.0
        lost = rise < -0.5  # counts were lost, not demand: the last known demand and store stand
        if not lost:
            used = self.used(now, c, call, max(rise, 0.0), dt + 0.1)
            c.told_own = TOLD_KEPT * c.told_own + max(0.0, c.mine)
            c.told_all = TOLD_KEPT * c.told_all + max(0.0, c.mine) + used
            weight = 1.0 - math.exp(-max(now - c.total_at, 1.0) / 1000.0 / WINDOW_S)
            c.others += (used / (dt + 0.1) - c.others) * weight
        c.total, c.total_at, c.mine = total, now, 0.0
        return self.level(now, c, total, call, lost) if c.plan.rate else []

    def used(self, now: float, c: Customer, call: Call, rise: float, dt: float) -> float:
        """How much of a rise is the others' use. Where the count would have lagged so far behind a full store
        that one of them may have put it right, any part of the lag may be a correction: then only the last
        known demand and what the quota lets in are taken for use, and what is more than the lag."""
        plan = c.plan
        full = plan.rate * (now - c.window) / 1000.0 - 0.5 * plan.burst  # the count of a store that is full
        behind = full - c.total - call.mended - c.mine  # by now, if the others had used nothing
        if not plan.rate or behind <= MEND * plan.burst:
            return rise
        return min(rise, max(c.others * dt, plan.rate * dt, rise - behind))

    def level(self, now: float, c: Customer, total: float, call: Call, lost: bool) -> list[Action]:
        """Sets the store by the count. What a full store lets run over and what is sent beyond an empty one
        take nothing from it, but nobody counts that: a count that has left the store's bounds is put right by
        whoever finds it so, with a call of its own, and all agree on the store again."""
        plan = c.plan
        filled = plan.rate * (now - c.window) / 1000.0
        # The window before is not known to all: a store is taken to begin half full.
        gone = total + 0.5 * plan.burst - filled - call.asked + c.flying + c.fresh
        # A count that lags tells of nothing spent; what this gateway itself has sent on since the last word,
        # less what has filled the store again, is gone all the same.
        true = plan.burst - c.store if lost else min(plan.burst, max(gone, plan.burst - c.most))
        c.store = c.most = plan.burst - true
        # Beyond an empty store the count holds what others have asked for and will be refused in this moment,
        # large requests at times; that is no debt, as it comes off at once.
        astray = true - gone
        again = total > call.amount + 0.5  # many customers come but once; for them no second call is made
        mend = (again and astray > MEND * plan.burst) or astray < -plan.burst
        return [self.claim(c, astray)] if mend and not c.claiming else []

    def claim(self, c: Customer, astray: float) -> IncrementCounter:
        """Asks for the right to put a count right. All that hear a wrong one find it so in the time that a
        call takes; each adding the whole of what is missing would leave it further astray. A name of its
        own, which lives until the first one's correction has been heard by all, lets one alone do so."""
        name = stable(f"{c.key}/{c.window:.0f}/mend")
        claim = Call(c, c.window, 1.0, mended=astray, claim=True)
        self.calls_out.setdefault(name, deque()).append(claim)
        c.claiming = True
        return IncrementCounter(name, 1.0, MEND_TIMES * self.settings.counter_timeout_ms)

    def claimed(self, now: float, call: Call, reply: CounterReply) -> list[Action]:
        """Puts the count right if no other gateway was first. What it was astray by still holds: only use has
        been added since."""
        call.customer.claiming = False
        first = reply.outcome is CallOutcome.OK and reply.total < 1.5
        return [self.call(now, call.customer, mended=call.mended)] if first else []

    def forget_idle(self, now: float) -> None:
        """Ages out customers with nothing open."""
        while self.customers:
            c = next(iter(self.customers.values()))
            if now - c.seen < IDLE_MS or c.open or c.under_way:
                return
            del self.customers[c.key]
            self.due.pop(c.key, None)


def stable(text: str) -> int:
    """A name for the counter: the same in every process, below 2^63."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1


@dataclass(slots=True)
class Server:
    """What this gateway knows of one server."""

    entry: Endpoint
    out: int = 0  # own attempts under way
    pace: float = 1.0  # time of answers against the fleet's mean for the same kind of request
    fails: float = 0.0  # recent share of failures, fading
    fails_at: float = 0.0
    silent_since: float | None = None  # first sending since the last answer
    queue: float = 0.0  # its last report
    queue_at: float = -1e9
    credit: float = 0.0  # units that a cold server may be sent: it is its turn from 0 on ...
    credit_at: float = 0.0  # ... as reckoned then
    kept: bool = False  # in the subset that this gateway keeps to

    def failures(self, now: float) -> float:
        """The share of failures by now."""
        return self.fails * math.exp((self.fails_at - now) / 5000.0)


class Sampled:
    """A set from which a few members are drawn at random, at a cost that does not grow with it."""

    def __init__(self) -> None:
        self.members: list[Server] = []
        self.places: dict[str, int] = {}

    def add(self, server: Server) -> None:
        """Puts a server in, or another process of its name in its place."""
        place = self.places.setdefault(server.entry.server_id, len(self.members))
        if place == len(self.members):
            self.members.append(server)
        self.members[place] = server

    def discard(self, name: str) -> None:
        """Takes a server out; the last one gets its place."""
        if (place := self.places.pop(name, None)) is None:
            return
        last = self.members.pop()
        if place < len(self.members):
            self.members[place] = last
            self.places[last.entry.server_id] = place

    def draw(self, rng: random.Random) -> list[Server]:
        """A few, all of them where there are no more."""
        return rng.sample(self.members, CHOICES) if len(self.members) > CHOICES else self.members


class Spares:
    """The servers outside the subset, for when that is not good enough: an index of the warm ones, of all and
    by zone and cell, as some further attempts are bound to these."""

    def __init__(self) -> None:
        self.groups: dict[Hashable, Sampled] = {}
        self.warming: list[tuple[float, str, float]] = []  # when, who, which start: the soonest warm first

    def add(self, server: Server, warm_at: float, now: float) -> None:
        """Puts a server in, at once or when it is warm."""
        entry = server.entry
        if warm_at > now:
            heapq.heappush(self.warming, (warm_at, entry.server_id, entry.started_ms))
            return
        for group in (None, entry.zone, (entry.zone, entry.cell)):
            self.groups.setdefault(group, Sampled()).add(server)

    def discard(self, entry: Endpoint) -> None:
        """Takes a server out, wherever it is."""
        for group in (None, entry.zone, (entry.zone, entry.cell)):
            if found := self.groups.get(group):
                found.discard(entry.server_id)
                if not found.members:
                    del self.groups[group]

    def warmed(self, now: float, servers: dict[str, Server]) -> None:
        """Puts in those that have become warm."""
        while self.warming and self.warming[0][0] <= now:
            _, name, started = heapq.heappop(self.warming)
            server = servers.get(name)
            if server is not None and not server.kept and server.entry.started_ms == started:
                self.add(server, now, now)

    def draw(self, rng: random.Random, home: Endpoint | None, scope: DeduplicationScope) -> list[Server]:
        """A few that an attempt may go to."""
        group = (
            None
            if home is None
            else home.zone
            if scope is DeduplicationScope.ZONE
            else (home.zone, home.cell)
        )
        found = self.groups.get(group)
        return found.draw(rng) if found else []


class Fleet:
    """Which server: the list, its health as own outcomes show it, cold starts. A request, a change and a tick
    look at the subset, a few others and what has changed: their cost does not grow with the list."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.servers: dict[str, Server] = {}
        self.ring: list[tuple[int, str]] = []  # their names in the order of their hashes
        self.subset: dict[str, Server] = {}  # those that this gateway keeps to
        self.spares = Spares()  # the others
        self.failing: dict[str, Server] = {}  # those with failures that have not faded yet
        self.means: dict[tuple[str, int], float] = {}
        self.usual = 0.0  # the median share of failures
        self.load = 1.0  # time of the last answers, all kinds, against their means, which are slow to learn
        self.units, self.heard = 1.0, 0  # of a mean request lately; requests that went into it
        self.per_unit = 0.0  # least time of answers for a unit lately, ms
        self.rate = 0.0  # units that a warm server answers to this gateway in a second
        self.recent, self.rated_at = 0.0, 0.0  # the same with the last answer in it, and when that came

    def update(self, news: EndpointUpdate, now: float) -> None:
        """Follows the list. A server that drains or is gone gets nothing new from this moment on."""
        moved: dict[str, None] = {}  # names that have come or gone, in order
        if news.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            listed = {entry.server_id for entry in news.endpoints}
            for name in [name for name in self.servers if name not in listed]:
                self.removed(name, moved)
        for entry in news.endpoints:
            if entry.state is not EndpointState.ACTIVE:
                self.removed(entry.server_id, moved)
            elif (old := self.servers.get(entry.server_id)) is None:
                moved[entry.server_id] = None
                self.started(now, entry, None)
            elif old.entry != entry:
                self.changed(now, old, entry)
        if moved:
            self.turn_ring(moved)
            self.choose_subset(now)

    def started(self, now: float, entry: Endpoint, old: Server | None) -> None:
        """A new process: what was learned of an old one says nothing of it."""
        new = self.servers[entry.server_id] = Server(entry, out=old.out if old else 0)
        self.next_turn(now, new)  # the gateways hear of it at once, and would all send in one moment
        if old is not None and old.kept:
            new.kept, self.subset[entry.server_id] = True, new
        else:
            self.spares.add(new, self.warm_at(new), now)

    def changed(self, now: float, old: Server, entry: Endpoint) -> None:
        """Other words on a server that is on the list."""
        if not old.kept:
            self.spares.discard(old.entry)
        if old.entry.started_ms != entry.started_ms:
            self.started(now, entry, old)
            return
        old.entry = entry
        if not old.kept:
            self.spares.add(old, self.warm_at(old), now)

    def removed(self, name: str, moved: dict[str, None]) -> None:
        """Forgets a server."""
        if (server := self.servers.pop(name, None)) is not None:
            moved[name] = None
            self.subset.pop(name, None)
            self.spares.discard(server.entry)

    def turn_ring(self, moved: dict[str, None]) -> None:
        """Takes names out of the ring that have gone, and puts in those that have come."""
        if len(moved) * REBUILT > len(self.ring):
            self.ring = [place for place in self.ring if place[1] not in moved]
            self.ring += [(stable(name), name) for name in moved if name in self.servers]
            self.ring.sort()
            return
        for name in moved:
            place = (stable(name), name)
            at = bisect_left(self.ring, place)
            known = at < len(self.ring) and self.ring[at] == place
            if known and name not in self.servers:
                del self.ring[at]
            elif not known and name in self.servers:
                self.ring.insert(at, place)

    def choose_subset(self, now: float) -> None:
        """Keeps to a part of a large fleet: few connections, and few servers to learn of, each met often.
        Servers stand in a ring, where one that comes or goes moves each part by one at most. Multiples of the
        golden ratio spread the parts evenly, and those of gateways in a row far from each other."""
        size = len(self.ring)
        start = int(self.settings.gateway_index * GOLDEN % 1.0 * size)
        names = dict.fromkeys(self.ring[(start + i) % size][1] for i in range(min(SUBSET, size)))
        for name in [name for name in self.subset if name not in names]:
            server = self.subset.pop(name)
            server.kept = False
            self.spares.add(server, self.warm_at(server), now)
        if size <= SUBSET:  # all, in the order of the list
            self.subset = dict(self.servers)
        for name in names:
            server = self.subset.setdefault(name, self.servers[name])
            if not server.kept:
                server.kept = True
                self.spares.discard(server.entry)

    def warm_at(self, server: Server) -> float:
        """When a server is warm at the latest."""
        rules = self.settings.slow_start
        cold = server.entry.started_ms > 0 and rules.initial_capacity_share < 1.0
        return server.entry.started_ms + max(1.0, rules.warm_up_ms) if cold else 0.0

    def warmth(self, server: Server, now: float) -> float:
        """The least share of its capacity that a server has by now."""
        rules = self.settings.slow_start
        age = max(0.0, now - server.entry.started_ms) / max(1.0, rules.warm_up_ms)
        cold = server.entry.started_ms > 0
        return (
            min(1.0, rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * age)
            if cold
            else 1.0
        )

    def warm(self, now: float) -> int:
        """How many of the servers that this gateway keeps to are warm by now."""
        return sum(self.warmth(server, now) >= 1.0 for server in self.subset.values())

    def mean(self, cls: RequestClass, units: float) -> float:
        """Mean time of such answers, over the fleet."""
        return self.means.get((cls.name, round(units)), cls.latency_objective_ms * 0.15)

    def pick(self, now: float, opened: Open) -> Server | None:
        """The server with the least expected delay; None if there is none to send to."""
        cls = opened.cls
        home = (
            opened.home
            if cls.idempotency is Idempotency.KEYED and cls.deduplication_scope is not DeduplicationScope.ALL
            else None
        )
        best, least = self.best(now, opened, home, self.subset.values())
        if best is None or least > AWAY:
            self.spares.warmed(now, self.servers)
            other, cost = self.best(
                now, opened, home, self.spares.draw(self.rng, home, cls.deduplication_scope)
            )
            if cost < least:
                best = other
        return best

    def best(
        self, now: float, opened: Open, home: Endpoint | None, servers: Iterable[Server]
    ) -> tuple[Server | None, float]:
        """The server of these that costs least, in mean service times."""
        best: Server | None = None
        least = math.inf
        mean = self.mean(opened.cls, opened.request.units)
        for server in servers:
            entry = server.entry
            if home and (
                entry.zone != home.zone
                or (opened.cls.deduplication_scope is DeduplicationScope.CELL and entry.cell != home.cell)
            ):
                continue
            warmth = self.warmth(server, now)
            if warmth < 1.0 and not self.may_start(now, server, warmth, opened.request.units):
                continue
            # Its turns alone hold a cold server to its share. Weighed by its warmth too, it would get nothing
            # from many gateways: to each of them the warm ones, full of others' work, look idle.
            cost = self.delay(server, now, mean)
            if entry.server_id in opened.tried:
                cost += 10.0
            if not server.kept:
                cost += AWAY
            if entry.zone != self.settings.zone:
                cost *= 1.0 + 10.0 * self.settings.cross_zone_cost
            cost *= TIES if warmth < 1.0 else self.rng.uniform(0.9, 1.1)
            if cost < least:
                best, least = server, cost
        return best, least

    def delay(self, server: Server, now: float, mean: float) -> float:
        """Expected delay at a server in mean service times; failures count as a long delay."""
        queue = server.queue * math.exp((server.queue_at - now) / 1000.0)
        wait = server.pace * (1.0 + server.out + 0.5 * queue)
        if server.silent_since is not None:
            # An answer overdue says hung, slow, or cut off, before any time-out does.
            wait = max(wait, (now - server.silent_since) / mean)
        return wait + 20.0 * max(0.0, server.failures(now) - self.usual)

    def sent(self, now: float, server: Server, units: float) -> None:
        """Books an attempt."""
        server.out += 1
        self.heard = min(20, self.heard + 1)
        self.units += (units - self.units) / self.heard
        if server.silent_since is None:
            server.silent_since = now
        if self.warmth(server, now) < 1.0:
            server.credit -= units  # the fall is counted in work

    def slow_start_rate(self, warmth: float) -> float:
        """Units a second that a cold server may be sent from here: all gateways together send it half of what
        would push it over, were the warm ones at their limit; those that know no rate send one request in
        COLD_S."""
        share = 0.5 * self.settings.slow_start.overload_factor * warmth
        return max(self.rate * min(1.0, share), self.units / COLD_S / self.settings.gateway_count)

    def next_turn(self, now: float, server: Server) -> None:
        """Draws when a cold server's next turn comes: at random, or those of many gateways would coincide."""
        server.credit, server.credit_at = -self.units * self.rng.expovariate(1.0), now

    def may_start(self, now: float, server: Server, warmth: float, units: float) -> bool:
        """Whether it is a cold server's turn; its turns are shared out among those that keep to it. One that
        is not used lapses: in a lull they would gather at all gateways, and a burst use them at once."""
        if not server.kept:
            return False
        rate = self.slow_start_rate(warmth)
        server.credit += rate * (now - server.credit_at) / 1000.0
        server.credit_at = now
        most = rate * OPEN_TURN * self.settings.slow_start.overload_window_ms / 1000.0
        if server.credit > most:
            self.next_turn(now, server)
            server.credit += most  # it may have come since
        share = self.budget_share(warmth, units)
        if server.credit < 0.0 or server.out >= 2:
            return False
        # What alone takes the half that is left for chance goes to warm servers, if there are any, and so do
        # all requests until an answer has told how large they are.
        if (share > 0.5 or not self.per_unit) and self.warm(now):
            return False
        if (FEW_FIT * share) ** 2 * self.rng.random() > 1.0:
            self.next_turn(now, server)  # chance heaps large ones, as the square of what each takes
            return False
        return True

    def budget_share(self, warmth: float, units: float) -> float:
        """The share of what a cold server bears that one request takes, if it has but one core."""
        rules = self.settings.slow_start
        return units * self.per_unit / max(1.0, rules.overload_factor * warmth * rules.overload_window_ms)

    def ended(self, now: float, event: AttemptCompleted, cls: RequestClass, units: float) -> None:
        """Learns from an outcome."""
        if (server := self.servers.get(event.server_id)) is None:
            return
        server.out = max(0, server.out - 1)
        if event.queue_length is not None:
            server.queue, server.queue_at = event.queue_length, now
        if event.outcome in (CallOutcome.NOT_SENT, CallOutcome.CANCELLED):
            return
        if event.outcome is not CallOutcome.TIMEOUT or not server.out:
            server.silent_since = now if server.out else None
        faded = server.failures(now)
        if event.outcome in (CallOutcome.OK, CallOutcome.TIMEOUT):
            # A time-out tells the least that the answer would have taken. Leaving it out would make a busy
            # server look quick by the answers that got through, and shorten the time-outs as load grows.
            key = (cls.name, round(units))
            mean = self.mean(cls, units)
            self.means[key] = mean + 0.03 * (event.duration_ms - mean)
            self.load += 0.12 * (event.duration_ms / mean - self.load)
            server.pace += 0.12 * (event.duration_ms / mean - server.pace)
        if event.outcome is CallOutcome.OK:
            server.fails = faded * 0.7
            if server.kept and self.warmth(server, now) >= 1.0:
                self.answered(now, event.duration_ms, units)
        else:
            weight = 0.5 if event.outcome in (CallOutcome.TIMEOUT, CallOutcome.UNREACHABLE) else 0.3
            server.fails = faded + weight * (1.0 - faded)
            self.failing[event.server_id] = server
        server.fails_at = now

    def answered(self, now: float, took_ms: float, units: float) -> None:
        """What warm servers answer tells what one can bear, overdriven or not; with all cold, the last word
        stands: counting cold ones would raise the rate by itself and push all of them over."""
        # The rate as it stood before this answer: with it in, those that seldom hear would think it too high.
        self.rate = self.recent * math.exp((self.rated_at - now) / 1000.0 / RATE_S)
        self.recent, self.rated_at = self.rate + units / RATE_S / self.warm(now), now
        # Answers are slow for many reasons and quick for one.
        spent = took_ms / units if units > 0 else self.per_unit
        weight = 0.2 if spent < self.per_unit else 0.005
        self.per_unit = self.per_unit + weight * (spent - self.per_unit) if self.per_unit else spent

    def judge(self, now: float) -> list[str]:
        """Names the servers that fail far more than most. What fails everywhere (a poisoned class, a full
        fleet) says nothing of one server; held against all, it would drown their queues in the choice. The
        subset stands for the fleet: it is spread over it, and the best known of it."""
        faded = sorted(server.failures(now) for server in self.subset.values())
        self.usual = faded[len(faded) // 2] if faded else 0.0
        for name, server in list(self.failing.items()):
            if server.failures(now) < FORGIVEN or self.servers.get(name) is not server:
                del self.failing[name]
        return [name for name, server in self.failing.items() if server.failures(now) - self.usual > 0.5]


class Pressure:
    """V: what the back end can take, and who gives way when it binds."""

    def __init__(self) -> None:
        self.backlog = 0.0  # own work out, in ms of mean service
        self.done = self.peak = 0.0  # own work answered, ms a second, and the most of it lately
        self.done_at, self.born = 0.0, math.inf
        self.capacity = math.inf  # units a second
        self.at: float | None = None
        self.times: list[float] = []  # the window's answers, time against aim
        self.demand: dict[float, float] = {}  # units in this window, by what a unit earns
        self.last: dict[float, float] = {}
        self.credit: dict[float, float] = {}

    def window(self, now: float, ages: list[float]) -> None:
        """At a window's end: V shrinks while answers come late, else grows by a fifth. The median tells, so
        that a few sick servers don't count; requests out count by age, or a hung fleet would look idle."""
        if self.at is None:
            self.at = now
        span = (now - self.at) / 1000.0
        if span < WINDOW_S or (len(self.times) < ANSWERS and span < MOST_SPAN_S):
            return
        seen = sorted(self.times + ages)
        lateness = seen[len(seen) // 2] if seen else 0.0
        if lateness > TOLERATED:
            self.capacity = min(self.capacity, sum(self.demand.values()) / span)
        # A smooth answer: what many gateways hear differs by chance, their sum should not. Three tenths off
        # at most, as one bad window says little of what the back end can do in the next.
        self.capacity *= min(1.2, max(0.7, 1.0 + TOLERATED - lateness))
        weight = min(1.0, len(self.times) / (2.0 * ANSWERS))
        for value in dict.fromkeys([*self.last, *self.demand]):
            new = self.demand.pop(value, 0.0) / span
            self.last[value] = self.last.get(value, new) * (1.0 - weight) + new * weight
        if self.capacity > 3.0 * sum(self.last.values()):
            self.capacity = math.inf
        self.times, self.at = [], now

    def answered(self, now: float, work: float) -> None:
        """Books work that an answer brought back."""
        dt = (now - self.done_at) / 1000.0
        self.done = self.done * math.exp(-dt / 2.0) + work / 2.0
        self.born = min(self.born, now)
        grown = 1.0 - math.exp(-(now - self.born + 200.0) / 2000.0)  # a mean that began at nothing
        self.peak = max(self.done / grown, self.peak * math.exp(-dt / 8.0))
        self.done_at = now

    def admit(self, value: float, units: float, aim: float, many: bool) -> bool:
        """Greedy fill: the dearest units first, the share of the marginal kind by its credit."""
        self.demand[value] = self.demand.get(value, 0.0) + units
        dearer = sum(n for v, n in self.last.items() if v > value)
        if self.peak > 0 and many:
            # A surge fills the servers' queues long before late answers show it. What is out, at the pace at
            # which answers come, tells how late a new one would be; the cheap give way first.
            rank = dearer / max(sum(self.last.values()), 1e-9)
            if self.backlog / self.peak * 1000.0 > aim * (0.5 - 0.2 * rank):
                return False
        if self.capacity == math.inf:
            return True
        share = min(1.0, max(0.0, (self.capacity - dearer) / max(self.last.get(value, 0.0), 1e-9)))
        credit = min(2.0 * units, self.credit.get(value, units) + share * units)
        admitted = credit >= units
        self.credit[value] = credit - units if admitted else credit
        return admitted


@dataclass(slots=True)
class Open:
    """A request that awaits its final answer."""

    request: Request
    cls: RequestClass
    customer: Customer | None
    came: float
    deadline: float
    attempts: int = 0
    out: int = 0
    counted: bool = False  # its call has told the counter of it
    waits: bool = False  # for the answer to that call
    tried: list[str] = field(default_factory=list)
    may_run_at: float | None = None  # when the first attempt was sent that may have run
    home: Endpoint | None = None  # where that one went


@dataclass(slots=True)
class Attempt:
    """An attempt under way; it may outlive its request."""

    opened: Open
    server: Endpoint
    sent: float
    work: float  # mean time of such a request by then


class Gateway:
    """Follows each request to its one final answer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.classes = {cls.name: cls for cls in settings.classes}
        self.quota = Quota(settings, self.rng)
        self.fleet = Fleet(settings, self.rng)
        self.pressure = Pressure()
        self.requests: dict[str, Open] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.held: list[str] = []
        self.left: dict[str, tuple[Customer, float]] = {}  # whose client left before their call's answer
        self.retries = 5.0  # further attempts that may be made; each request adds a fifth
        self.told: dict[str, tuple[bool, float]] = {}  # states told to the operators, and when
        self.actions: list[Action] = []

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Takes one event, returns what to do."""
        self.actions = []
        if self.quota.started == math.inf:
            self.quota.started = now_ms
            self.actions.append(SetTimer(0, now_ms + TICK_MS * self.rng.uniform(0.5, 1.5)))
        match event:
            case Request():
                self.accept(now_ms, event)
            case AttemptCompleted():
                self.ended(now_ms, event)
            case EndpointUpdate():
                self.fleet.update(event, now_ms)
                if (
                    event.kind in (UpdateKind.CACHED_SNAPSHOT, UpdateKind.WATCH_FAILED)
                    and self.settings.watch_required
                ):
                    self.actions.append(WatchEndpoints())
                self.resume(now_ms)
            case TimerFired():
                self.tick(now_ms)
            case CounterReply():
                waits, calls = self.quota.counted(now_ms, event)
                self.actions += calls
                if waiting := self.requests.get(waits or ""):
                    self.decide(now_ms, waiting, event.outcome is CallOutcome.OK)
                elif (left := self.left.pop(waits or "", None)) and event.outcome is CallOutcome.OK:
                    self.actions += self.quota.give_back(now_ms, *left)
            case ClientDisconnected(request_id) | ResponseStarted(request_id):
                opened = self.requests.pop(request_id, None)
                if opened is not None and opened.waits and opened.customer is not None:
                    self.left[request_id] = opened.customer, opened.request.units
        return self.actions

    def tick(self, now: float) -> None:
        """Judges pressure, ages out customers, looks at held requests."""
        self.actions.append(SetTimer(0, now + TICK_MS))
        self.pressure.window(
            now, [(now - a.sent) / a.opened.cls.latency_objective_ms for a in self.attempts.values()]
        )
        self.tell(now, "counter_unavailable", self.settings.counter_enabled and self.quota.mute)
        self.tell(now, "counter_calls_throttled", self.quota.share < 0.5)
        self.tell(now, "capacity_limited", self.pressure.capacity < math.inf)
        self.tell(now, "no_endpoints", not self.fleet.servers)
        self.tell(now, "fleet_failing", self.fleet.usual > 0.2)
        self.tell(now, "outliers_ejected", ", ".join(self.fleet.judge(now)))
        self.quota.forget_idle(now)
        for customer in list(self.quota.due.values()):
            self.actions += self.quota.calls(now, customer)
        self.resume(now)

    def tell(self, now: float, what: str, state: bool | str) -> None:
        """Logs a state's start and end, each state once in five seconds at most."""
        was, at = self.told.get(what, (False, -math.inf))
        if bool(state) != was and now - at >= 5000.0:
            self.told[what] = (bool(state), now)
            fields = [("state", "began" if state else "ended")]
            if state and isinstance(state, str):
                fields.append(("servers", state))
            self.actions.append(LogEvent(what, tuple(fields)))

    def accept(self, now: float, request: Request) -> None:
        """A new request: quota first, then V, then a server."""
        left = request.time_left_ms
        cls = self.classes.get(request.class_name) or RequestClass("", left, 1.0, Idempotency.NON_IDEMPOTENT)
        if left <= 0 or len(self.requests) >= self.settings.max_pending_requests - 1:
            self.actions.append(Reject(request.request_id, self.settings.max_retry_after_ms))
            return
        self.retries = min(10.0, self.retries + 0.2)
        customer = self.quota.customer(now, request)
        opened = Open(request, cls, customer, now, now + left)
        self.requests[request.request_id] = opened
        hasty = left < 2.0 * self.settings.counter_timeout_ms + TICK_MS  # no time to ask
        if customer is not None and not hasty and self.quota.unsure(now, customer, request.units):
            opened.counted = True
            if (call := self.quota.ask(now, customer, request)) is not None:
                opened.waits = True
                self.actions.append(call)
                return
        self.decide(now, opened, False)

    def decide(self, now: float, opened: Open, asked: bool) -> None:
        """Lets a request go on or refuses it."""
        request, cls, customer = opened.request, opened.cls, opened.customer
        opened.waits = False
        if customer is not None:
            value = cls.priority_weight * customer.plan.price
            wait = self.quota.admit(now, customer, request.units, asked, opened.counted and not asked)
            many = len(self.attempts) > max(FEW, 2.0 * len(self.fleet.servers) / self.settings.gateway_count)
            if wait is None and not self.pressure.admit(value, request.units, cls.latency_objective_ms, many):
                wait = self.settings.max_retry_after_ms
            if wait is not None:
                if asked:
                    self.actions += self.quota.give_back(now, customer, request.units)
                del self.requests[request.request_id]
                wait = max(1.0, min(wait, self.settings.max_retry_after_ms))
                self.actions.append(Reject(request.request_id, wait))
                return
            # Booked now and not at the sending, so that held requests don't pass a ceiling together.
            self.quota.take(customer, request.units, opened.counted, asked)
            self.actions += self.quota.calls(now, customer)
        self.send(now, opened)

    def send(self, now: float, opened: Open) -> None:
        """Starts an attempt; holds or refuses the request where there is no server for it."""
        request, cls = opened.request, opened.cls
        server = self.fleet.pick(now, opened)
        if server is None:
            if now - opened.came < 0.3 * cls.latency_objective_ms and now < opened.deadline - 2 * TICK_MS:
                self.held.append(request.request_id)  # a server may come up, or a cold one's turn
            else:
                self.finish(opened)
            return
        if opened.customer is not None:
            opened.customer.open += 1
        mean = self.fleet.mean(cls, request.units)
        patience = max(0.5 * cls.latency_objective_ms, 5.0 * mean * max(1.0, self.fleet.load))
        late = patience > 0.75 * cls.latency_objective_ms or opened.deadline - now - patience < mean
        if (
            late
            or cls.idempotency is Idempotency.NON_IDEMPOTENT
            or opened.attempts >= min(2, self.settings.max_attempts - 1)
        ):
            patience = 0.0  # a second try would come too late: a busy fleet is left to finish its work
        self.actions.append(StartAttempt(request.request_id, server.entry.server_id, patience))
        self.attempts[request.request_id, opened.attempts] = Attempt(opened, server.entry, now, mean)
        opened.attempts += 1
        opened.out += 1
        opened.tried.append(server.entry.server_id)
        self.fleet.sent(now, server, request.units)
        self.pressure.backlog += mean

    def resume(self, now: float) -> None:
        """Tries held requests again."""
        held, self.held = self.held, []
        for request_id in held:
            opened = self.requests.get(request_id)
            if opened is None or opened.out:
                continue
            if opened.may_run_at is None or self.may_repeat(now, opened, None):
                self.send(now, opened)
            else:
                self.finish(opened)  # what may have run is not sent once the servers may have forgotten it

    def ended(self, now: float, event: AttemptCompleted) -> None:
        """An attempt's outcome: learn from it, then try again where that is allowed, else answer."""
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        opened = attempt.opened
        self.fleet.ended(now, event, opened.cls, opened.request.units)
        if opened.customer is not None:
            opened.customer.open -= 1
            self.quota.hold_s += 0.02 * (event.duration_ms / 1000.0 - self.quota.hold_s)
        self.pressure.backlog = max(0.0, self.pressure.backlog - attempt.work)
        if event.outcome is CallOutcome.OK:
            self.pressure.answered(now, attempt.work)
        if event.outcome in (CallOutcome.OK, CallOutcome.TIMEOUT):
            self.pressure.times.append(event.duration_ms / opened.cls.latency_objective_ms)
        if event.request_id not in self.requests:
            return
        if event.request_completed:
            del self.requests[event.request_id]
            return
        opened.out -= 1
        if event.outcome not in DID_NOT_RUN and opened.may_run_at is None:
            opened.may_run_at = attempt.sent
            opened.home = attempt.server
        if opened.out > 0:
            return
        if self.may_repeat(now, opened, event) and self.retries >= 1.0:
            self.retries -= 1.0
            self.send(now, opened)
        else:
            self.finish(opened)

    def may_repeat(self, now: float, opened: Open, event: AttemptCompleted | None) -> bool:
        """Whether another attempt is allowed and of use."""
        cls = opened.cls
        useful = (
            opened.deadline
            if cls.late_weight > 0
            else min(opened.deadline, opened.came + cls.latency_objective_ms)
        )
        if opened.attempts >= self.settings.max_attempts or (event and event.outcome is CallOutcome.NOT_SENT):
            return False
        if now + 0.5 * self.fleet.mean(cls, opened.request.units) > useful:
            return False
        if opened.may_run_at is None or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        return (
            cls.idempotency is Idempotency.KEYED
            and now < opened.may_run_at + cls.deduplication_window_ms - 5.0
        )

    def finish(self, opened: Open) -> None:
        """The final answer of a request that was not served: refused only if that promises nothing false."""
        name, clear = opened.request.request_id, opened.may_run_at is None
        del self.requests[name]
        self.actions.append(Reject(name, self.settings.max_retry_after_ms) if clear else Fail(name))
