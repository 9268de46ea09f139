"""Hold small records, each owned by the VM that published it."""

from collections.abc import Iterable, Iterator
from typing import Any

from attrs import define, field, frozen

from wagtailbay.logs import log_event
from wagtailbay.membership.const import MAX_FACTS, MAX_FACTS_PER_MESSAGE, RELAYED_FACT_KINDS
from wagtailbay.replica import ChangeSignal

FactId = tuple[str, str, str]


@frozen
class Fact:
    """Hold one record.

    Attributes:
        kind: The name of its type, for example ``demand``.
        key: What it is about, unique for its owner and kind.
        sequence: Grows with each publication of its owner.
        value: An attrs object of the type registered for the kind.
        expires_s: When it stops counting, on the clock of the VM that holds it.
    """

    vm: str
    incarnation: int
    kind: str
    key: str
    sequence: int
    value: Any
    expires_s: float


@frozen
class FactBatch:
    """Hold the facts of one VM's table that lie after one position and up to another.

    Attributes:
        positions: Of each fact; empty in a received batch.
    """

    facts: tuple[Fact, ...]
    from_position: int
    through_position: int
    positions: tuple[int, ...] = ()


@define
class FactTable:
    """Hold the newest fact of each owner, kind and key.

    Attributes:
        position: Grows with each fact stored; peers ask for the facts after a position.
        positions: The position of each fact.
    """

    vm: str
    incarnation: int
    facts: dict[FactId, Fact] = field(factory=dict)
    sequence: int = 0
    changed: ChangeSignal = field(factory=ChangeSignal)
    position: int = 0
    positions: dict[FactId, int] = field(factory=dict)

    def publish(
        self, kind: str, key: str, value: Any, *, ttl_ms: int, now_s: float, urgent: bool = False
    ) -> None:
        """Publish a fact of this VM; an urgent one is sent to all peers at once."""
        self.sequence += 1
        fact = Fact(
            self.vm, self.incarnation, kind, key, self.sequence, value, now_s + ttl_ms / 1000
        )
        self._store(fact)
        if urgent:
            self.changed.notify()

    def merge(self, facts: Iterable[Fact]) -> tuple[Fact, ...]:
        """Take in facts of other VMs and return the new ones; new ones to relay are urgent."""
        fresh = []
        for fact in facts:
            known = self.facts.get((fact.vm, fact.kind, fact.key))
            # Facts of this VM's earlier runs, such as a stop, still count for the run now.
            if fact.vm == self.vm and fact.incarnation >= self.incarnation:
                continue
            if known is not None and not _is_newer(fact, known):
                continue
            if known is None and len(self.facts) >= MAX_FACTS:
                log_event("fact_dropped", reason="the table is full", kind=fact.kind, owner=fact.vm)
                continue
            self._store(fact)
            fresh.append(fact)
        if any(fact.kind in RELAYED_FACT_KINDS for fact in fresh):
            self.changed.notify()
        return tuple(fresh)

    def _store(self, fact: Fact) -> None:
        identity = (fact.vm, fact.kind, fact.key)
        self.position += 1
        # Facts stay ordered by position, so that a peer's new facts are at the end.
        self.facts.pop(identity, None)
        self.facts[identity] = fact
        self.positions[identity] = self.position

    def batch_after(self, position: int, now_s: float) -> FactBatch:
        """Return the facts that a peer lacks: this VM's own and those to relay."""
        newer: list[tuple[int, Fact]] = []
        for identity in reversed(self.facts):
            if self.positions[identity] <= position:
                break
            fact = self.facts[identity]
            if (fact.vm == self.vm or fact.kind in RELAYED_FACT_KINDS) and fact.expires_s > now_s:
                newer.append((self.positions[identity], fact))
        newer.reverse()
        kept = newer[:MAX_FACTS_PER_MESSAGE]
        through = self.position if len(kept) == len(newer) else kept[-1][0]
        return FactBatch(
            tuple(fact for _, fact in kept), position, through, tuple(place for place, _ in kept)
        )

    def of_kind(self, kind: str, now_s: float) -> Iterator[Fact]:
        """Yield the facts of a kind that have not expired."""
        for fact in tuple(self.facts.values()):
            if fact.kind == kind and fact.expires_s > now_s:
                yield fact

    def own(self, now_s: float) -> tuple[Fact, ...]:
        """Return this VM's facts that have not expired."""
        return tuple(
            fact
            for fact in self.facts.values()
            if (fact.vm, fact.incarnation) == (self.vm, self.incarnation) and fact.expires_s > now_s
        )

    def expire(self, now_s: float) -> None:
        """Drop expired facts."""
        if all(fact.expires_s > now_s for fact in self.facts.values()):
            return
        self.facts = {key: fact for key, fact in self.facts.items() if fact.expires_s > now_s}
        self.positions = {key: self.positions[key] for key in self.facts}


def _is_newer(fact: Fact, known: Fact) -> bool:
    return (fact.incarnation, fact.sequence) > (known.incarnation, known.sequence)
