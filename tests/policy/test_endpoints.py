"""The module's list of backends, changed piece by piece, against one that is made anew for each change."""

from __future__ import annotations

import math
import time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gateway.policy.actions import StartAttempt
from gateway.policy.engine import RATE_SPAN, Endpoint, Policy, mix
from gateway.policy.events import EndpointState, EndpointUpdate, Event, Outcome, UpdateKind
from gateway.policy.subsetting import arc
from gateway.settings_parser import parse_settings
from tests.support.policy import START, make_finished, make_record, make_request, started_attempts, text

SETTINGS = {"peers_total": "40", "tariffs__0__quota_rate": "0"}


class Rebuilding(Policy):
    """The reference: each change walks, sorts and chooses among all backends."""

    def on_members(self, event: EndpointUpdate) -> None:
        if event.kind in (UpdateKind.CACHED, UpdateKind.SNAPSHOT):
            for known in self.backends.values():
                known.state = EndpointState.GONE
        for told in event.records:
            found = self.backends.get(told.endpoint_id)
            if found is None:
                found = Endpoint(told, answered=self.now, ring=mix(told.endpoint_id))
                self.backends[told.endpoint_id] = found
            if told.started_at > found.entry.started_at or not found.cold_at:
                found.latency, found.answered = self.latency, self.now
                found.cold_level, found.cold_at = self.random.random(), self.now
            found.entry, found.state = told, told.state
        for gone in [b for b in self.backends.values() if b.state is EndpointState.GONE and not b.out]:
            del self.backends[gone.entry.endpoint_id]
        ready = (b for b in self.backends.values() if b.state is EndpointState.READY)
        self.live = sorted(ready, key=lambda b: b.ring)
        self.choose_near()
        self.out = sum(len(b.out) for b in self.live)
        self.pump()

    def choose_near(self) -> None:
        warm = [self.warmth(b) >= 1 for b in self.live]
        taken = arc(len(warm), warm.__getitem__, self.settings.gateway_index, self.peers)
        self.near = [self.live[n] for n in sorted(taken)]
        self.near_until = math.inf if all(warm) else self.now + RATE_SPAN / 4


def seen(made: Policy) -> tuple[object, ...]:
    """What the choice of a backend rests on."""
    states = {number: (b.state, len(b.out), b.cold_level) for number, b in made.backends.items()}
    return [b.entry for b in made.live], [b.entry for b in made.near], made.out, states


ENTRIES = st.lists(
    st.tuples(st.integers(1, 50), st.sampled_from(EndpointState), st.integers(0, 2)), max_size=12
)
STEPS = st.one_of(
    st.tuples(st.just("change"), ENTRIES),
    st.tuples(st.just("list"), ENTRIES),
    st.tuples(st.just("request"), st.integers(0, 1)),
    st.tuples(st.just("answer"), st.sampled_from([Outcome.OK, Outcome.OVERLOADED, Outcome.RESET])),
)


# Guards every choice against a list that is patched wrongly: over any changes, whole lists, duplicates,
# unknown servers that go, requests and answers, both have the same backends, near ones and actions.
@given(st.lists(STEPS, max_size=30), st.integers(0, 39), st.integers(0, 1 << 16))
@settings(max_examples=150, deadline=None)
def test_a_patched_list_is_the_one_made_anew(steps: list[tuple[str, object]], me: int, seed: int) -> None:
    told = parse_settings(text(me=str(me), **SETTINGS))
    both = (Policy(told, seed), Rebuilding(told, seed))
    first = EndpointUpdate(UpdateKind.CACHED, 1, tuple(make_record(n, cell=n % 3) for n in range(1, 41)))
    now, rid = START, 0
    out: list[tuple[StartAttempt, int]] = []
    for version, (kind, what) in enumerate([("list", None), *steps], 1):
        now += 0.4
        event: Event = first
        if kind in ("change", "list") and what is not None:
            assert isinstance(what, list)
            listed = tuple(
                make_record(n, cell=n % 3, state=state, started=now - 9 * age if age else 0.0)
                for n, state, age in what
            )
            event = EndpointUpdate(
                UpdateKind.SNAPSHOT if kind == "list" else UpdateKind.DELTA, version, listed
            )
        elif kind == "request":
            assert isinstance(what, int)
            rid += 1
            event = make_request(rid, cls=what)
        elif kind == "answer":
            if not out:
                continue
            assert isinstance(what, Outcome)
            sent, attempt = out.pop(0)
            event = make_finished(sent.request_id, sent, what, attempt, closed=what is Outcome.OK)
        actions, reference = (made.handle(now, event) for made in both)
        assert actions == reference
        assert seen(both[0]) == seen(both[1])
        for send in started_attempts(actions):
            out.append((send, both[0].jobs[send.request_id].attempts - 1))


# Guards the size to design for: a change costs what it changes.  As a ratio, for machines differ.
@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_a_change_costs_no_more_in_a_long_list(state: EndpointState) -> None:
    def cost(count: int) -> float:
        listed = [make_record(n, cell=n % 490) for n in range(1, count + 1)]
        made = Policy(parse_settings(text(me="7", **{**SETTINGS, "peers_total": str(count // 15)})), 1)
        made.handle(START, EndpointUpdate(UpdateKind.SNAPSHOT, 1, tuple(listed)))
        took = []
        for n in range(1, 61):
            for told in (make_record(n, cell=n % 490, state=state), listed[n - 1]):
                event = EndpointUpdate(UpdateKind.DELTA, 1 + n, (told,))
                began = time.process_time()
                made.handle(START, event)
                took.append(time.process_time() - began)
        return sorted(took)[len(took) // 2]

    assert cost(12_000) < 8 * cost(600)
