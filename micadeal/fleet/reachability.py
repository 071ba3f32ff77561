"""What the messages of a machine prove about our contact with it.  Pure.

Three things look like a machine that is well and are not:

- a *deaf* one: its reports arrive, answers and commands don't reach it.  It swallows starts, and
  its tasks end with its lease though each of its reports was answered;
- a *late copy* of a report: the machine may be gone, or at work on something else, by now;
- a worker that *began anew*: session and sequence count from the start again, so what it says
  looks older than what the process before it said (PROTOCOL, "POST /checkin").

What an answer is worth is seen from what a later report shows of it; what a report is worth, from
its session, sequence and token.  Where these can't tell, the worker is asked: its answer is newer
than the question, whatever it says of itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from micadeal.clock import ZERO, seconds

#: Answers without effect, in a row, after which a machine that does not answer a question either is
#: taken to be deaf; and after which it is, whatever it answers.
MISSES = 2
MOST_MISSES = 5
#: A lease that ran out sooner than this share of it after an answer of ours was not renewed by it.
ANSWERED_SHARE = 0.75
#: Questions to a machine are so far apart.
ASK_EVERY = seconds(2)


@dataclass(slots=True)
class Reachability:
    #: Highest token that it has shown.
    token: int = 0
    #: Receipt of its newest message, be it a report or an answer to a command.  Whatever it sent
    #: before was sent before that instant, so no answer of ours to an older report, however late
    #: that comes, can have renewed its lease from a later one.
    latest: timedelta | None = None
    #: Answers in a row that had no effect, and since when.
    missed: int = 0
    missed_since: timedelta | None = None
    #: When we last asked it something.
    asked: timedelta | None = None
    #: Its worker began anew.  Of such a machine nothing that comes is certain any more: a copy of
    #: what the process before it sent would be taken for news.
    restarted: bool = False

    def take(self, token: int, now: timedelta) -> None:
        """A newer message was received."""
        self.token = max(self.token, token)
        self.latest = now

    def seen(self) -> None:
        """An answer of ours had its effect."""
        self.missed, self.missed_since = 0, None

    def unseen(self, now: timedelta) -> None:
        """A report was sent after an answer of ours, and shows nothing of what that asked for."""
        self.missed += 1
        if self.missed_since is None:
            self.missed_since = now

    def told(self, asked: timedelta) -> None:
        """It answered a question of ours that was put then."""
        after = self.missed_since is not None and asked >= self.missed_since
        if after and self.missed < MOST_MISSES:
            self.seen()

    def probe_unanswered(self, asked: timedelta) -> None:
        """It did not answer a question of ours: with an answer that had no effect, that will do."""
        if self.missed_since is not None and asked >= self.missed_since:
            self.missed = max(self.missed, MISSES)

    @property
    def receives_nothing(self) -> bool:
        return self.missed >= MISSES

    def receives_nothing_for(self, now: timedelta) -> timedelta:
        return (
            ZERO
            if self.missed_since is None or not self.receives_nothing
            else now - self.missed_since
        )

    def proves_restart(self, asked: timedelta | None) -> bool:
        """Whether a message that looks older than one taken before proves that its worker began
        anew: only an answer to a question that was put after that one had come.  Not at the same
        reading of the clock, which moves in steps: the order of the two is not known then."""
        return asked is not None and (self.latest is None or asked > self.latest)

    def may_ask(self, now: timedelta) -> bool:
        return self.asked is None or now - self.asked >= ASK_EVERY
