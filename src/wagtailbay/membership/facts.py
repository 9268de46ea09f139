"""Table of facts: small records, each owned by the VM that published it."""

from collections.abc import Collection, Iterable, Iterator
from typing import Any

from attrs import define, evolve, field, frozen

from wagtailbay.logs import log_event
from wagtailbay.membership.const import (
    DELEGATE_FACT_KINDS,
    MAX_FACTS,
    MAX_FACTS_PER_MESSAGE,
    REGIONAL_FACT_KINDS,
    RELAYED_FACT_KINDS,
)
from wagtailbay.replica import ChangeSignal

FactId = tuple[str, str, str]


@frozen
class Fact:
    """A record published by one VM.

    Attributes:
        kind: The name of the value's type, for example ``demand``.
        key: The subject of the fact, unique for its owner and kind.
        sequence: Grows with each fact that the owner publishes.
        value: An attrs object of the type registered for the kind.
        expires_s: When the fact expires, on the clock of the VM that holds it.
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
    """The facts of one VM's table after one position and up to another.

    Attributes:
        positions: The position of each fact; empty in a received batch.
    """

    facts: tuple[Fact, ...]
    from_position: int
    through_position: int
    positions: tuple[int, ...] = ()


@define
class FactTable:
    """Store the newest fact for each owner, kind and key.

    Attributes:
        position: Grows with each stored fact; a peer is sent the facts after the position that it
            has acknowledged.
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
        """Publish a fact of this VM; an urgent fact is sent to all neighbours at once."""
        self.sequence += 1
        fact = Fact(
            self.vm, self.incarnation, kind, key, self.sequence, value, now_s + ttl_ms / 1000
        )
        self._store(fact)
        if urgent:
            self.changed.notify()

    def renumber(self, incarnation: int) -> None:
        """Publish this run's facts again as those of a run with a higher number."""
        run = (self.vm, self.incarnation)
        own = [fact for fact in self.facts.values() if (fact.vm, fact.incarnation) == run]
        self.incarnation = incarnation
        for fact in own:
            self._store(evolve(fact, incarnation=incarnation))

    def send_again(self, kinds: Collection[str]) -> None:
        """Send this VM's facts of some kinds again to the peers that get such facts.

        The facts get new positions, since what a peer has acknowledged includes those that were not
        meant for it, and an acknowledgement on its way may repeat that.
        """
        for fact in tuple(self.facts.values()):
            if fact.vm == self.vm and fact.kind in kinds:
                self._store(fact)

    def merge(self, facts: Iterable[Fact]) -> tuple[Fact, ...]:
        """Store newer facts of other VMs and return them; those to be relayed are sent at once."""
        fresh = []
        for fact in facts:
            known = self.facts.get((fact.vm, fact.kind, fact.key))
            # Facts of this VM's earlier incarnations, such as a stop, remain in force.
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
        # Reinserting keeps the dict ordered by position, so batch_after can read it from the end.
        self.facts.pop(identity, None)
        self.facts[identity] = fact
        self.positions[identity] = self.position

    def batch_after(
        self, position: int, now_s: float, *, same_region: bool = True, to_delegate: bool = True
    ) -> FactBatch:
        """Return this VM's own facts and the facts to relay that a peer lacks.

        Args:
            same_region: Whether the peer is in this VM's region; others get no regional facts.
            to_delegate: Whether the peer is a delegate, or the fleet is not divided.
        """
        newer: list[tuple[int, Fact]] = []
        for identity in reversed(self.facts):
            if self.positions[identity] <= position:
                break
            fact = self.facts[identity]
            concerns_peer = (same_region or fact.kind not in REGIONAL_FACT_KINDS) and (
                to_delegate or fact.kind not in DELEGATE_FACT_KINDS
            )
            is_sent = fact.vm == self.vm or fact.kind in RELAYED_FACT_KINDS
            if is_sent and concerns_peer and fact.expires_s > now_s:
                newer.append((self.positions[identity], fact))
        newer.reverse()
        kept = newer[:MAX_FACTS_PER_MESSAGE]
        through = self.position if len(kept) == len(newer) else kept[-1][0]
        return FactBatch(
            tuple(fact for _, fact in kept), position, through, tuple(place for place, _ in kept)
        )

    def of_kind(self, kind: str, now_s: float) -> Iterator[Fact]:
        """Yield the unexpired facts of a kind."""
        for fact in tuple(self.facts.values()):
            if fact.kind == kind and fact.expires_s > now_s:
                yield fact

    def own(self, now_s: float) -> tuple[Fact, ...]:
        """Return the unexpired facts that this VM published in this incarnation."""
        return tuple(
            fact
            for fact in self.facts.values()
            if (fact.vm, fact.incarnation) == (self.vm, self.incarnation) and fact.expires_s > now_s
        )

    def expire(self, now_s: float) -> None:
        """Remove expired facts."""
        if all(fact.expires_s > now_s for fact in self.facts.values()):
            return
        self.facts = {key: fact for key, fact in self.facts.items() if fact.expires_s > now_s}
        self.positions = {key: self.positions[key] for key in self.facts}


def _is_newer(fact: Fact, known: Fact) -> bool:
    return (fact.incarnation, fact.sequence) > (known.incarnation, known.sequence)
