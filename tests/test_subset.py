"""Which backends each gateway of a fleet keeps to."""

from __future__ import annotations

from collections import Counter as Tally

import pytest

from orchidhill import interface as i
from orchidhill.subset import LEAST_BACKENDS, LEAST_SHARERS, arc, place

from .helpers import START, Counter, entry, gateway, play, request, sends


@pytest.mark.parametrize(("peers", "count"), [(40, 60), (40, 96), (17, 60), (100, 31)])
def test_every_backend_has_about_as_many_gateways(peers: int, count: int) -> None:
    sharers = Tally(n for me in range(peers) for n in arc([True] * count, me, peers))
    assert len(sharers) == count
    assert min(sharers.values()) >= LEAST_SHARERS - 1
    assert max(sharers.values()) - min(sharers.values()) <= 2


@pytest.mark.parametrize(("peers", "count"), [(1, 40), (2, 10), (4, 14), (8, 60)])
def test_a_small_fleet_keeps_to_all_backends(peers: int, count: int) -> None:
    for me in range(peers):
        assert sorted(arc([True] * count, me, peers)) == list(range(count))


def test_gateways_in_a_row_do_not_keep_to_the_same_backends() -> None:
    places = [place(me, 40) for me in range(40)]
    assert len(set(places)) == 40
    rows = [Tally(n for me in range(at, at + 8) for n in arc([True] * 60, me, 40)) for at in range(32)]
    assert all(len(row) >= 45 for row in rows)


def test_cold_backends_come_on_top() -> None:
    warm = [n % 3 > 0 for n in range(60)]
    for me in range(40):
        assert sum(warm[n] for n in arc(warm, me, 40)) == LEAST_BACKENDS


def test_no_backends_and_only_cold_ones_are_borne() -> None:
    assert arc([], 3, 40) == []
    assert sorted(arc([False] * 30, 3, 40)) == list(range(30))


def test_a_gateway_of_many_keeps_to_few_backends_and_uses_others_when_those_are_gone() -> None:
    fleet = [entry(n) for n in range(1, 61)]
    made = gateway(fleet, peers_total="40", me="7")
    counter, used = Counter(), set()
    for rid in range(200):
        (send,) = sends(play(made, counter, START + rid, request(rid, customer=rid)))
        used.add(send.backend)
        play(
            made,
            counter,
            START + rid + 0.1,
            i.Finished(rid, 0, send.backend, i.Outcome.OK, True, 0.1, 0, 0, ()),
        )
    assert len(used) <= LEAST_BACKENDS
    gone = tuple(entry(n, state=i.State.GONE) for n in used)
    made.handle(START + 300, i.Members(i.Listing.DELTA, 2, gone))
    (send,) = sends(play(made, counter, START + 300, request(999, customer=999)))
    assert send.backend not in used
