"""Pipelined calls of one connection and the matching of replies to them, without sockets."""

from __future__ import annotations

import pytest

from gateway.counter.call import CounterCall, Ping
from gateway.counter.call_pipeline import CallPipeline
from gateway.counter.errors import MalformedReplyError
from gateway.policy.events import CounterReply, Outcome
from tests.support.counter import make_add_action


class UnusedConnection:
    """A connection for calls that never expire."""

    def expire(self, call: CounterCall) -> None:
        raise NotImplementedError


@pytest.fixture
def replies() -> list[CounterReply]:
    return []


@pytest.fixture
def call(replies: list[CounterReply]) -> CounterCall:
    return CounterCall(make_add_action(), 0.0, UnusedConnection(), replies.append)


def test_a_call_is_settled_once(call: CounterCall, replies: list[CounterReply]) -> None:
    call.settle(Outcome.TIMEOUT)
    call.settle(Outcome.OK, 1.0)
    assert [reply.outcome for reply in replies] == [Outcome.TIMEOUT]


# A written call may have been added, unless it was the only one and was not sent in full.
@pytest.mark.parametrize(
    ("pings", "has_unsent_bytes", "outcome"),
    [
        pytest.param(0, True, Outcome.CONNECT_FAILED, id="single call, unsent"),
        pytest.param(0, False, Outcome.TIMEOUT, id="single call, sent"),
        pytest.param(1, True, Outcome.TIMEOUT, id="one of two calls, unsent"),
    ],
)
def test_a_lost_connection_settles_its_written_calls(
    call: CounterCall, replies: list[CounterReply], *, pings: int, has_unsent_bytes: bool, outcome: Outcome
) -> None:
    pipeline = CallPipeline()
    for _ in range(pings):
        pipeline.append_written(Ping())
    pipeline.append_written(call)
    pipeline.fail_written(has_unsent_bytes=has_unsent_bytes)
    assert [reply.outcome for reply in replies] == [outcome]
    assert not pipeline.awaits_reply


def test_a_reply_without_a_pending_call_is_malformed(call: CounterCall) -> None:
    pipeline = CallPipeline()
    pipeline.enqueue(call)
    with pytest.raises(MalformedReplyError, match="reply without a pending call"):
        pipeline.receive(b"$1\r\n5\r\n")
    assert not call.is_settled
