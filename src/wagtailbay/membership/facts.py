"""Hold small records, each owned by the VM that published it."""

from collections.abc import Iterable, Iterator
from typing import Any

from attrs import define, field, frozen

from wagtailbay.replica import ChangeSignal


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


@define
class FactTable:
    """Hold the newest fact of each owner, kind and key."""

    vm: str
    incarnation: int
    facts: dict[tuple[str, str, str], Fact] = field(factory=dict)
    sequence: int = 0
    changed: ChangeSignal = field(factory=ChangeSignal)

    def publish(
        self, kind: str, key: str, value: Any, *, ttl_ms: int, now_s: float, urgent: bool = False
    ) -> None:
        """Publish a fact of this VM; an urgent one is sent to all peers at once."""
        self.sequence += 1
        fact = Fact(
            self.vm, self.incarnation, kind, key, self.sequence, value, now_s + ttl_ms / 1000
        )
        self.facts[(self.vm, kind, key)] = fact
        if urgent:
            self.changed.notify()

    def merge(self, facts: Iterable[Fact]) -> tuple[Fact, ...]:
        """Take in facts of other VMs and return the new ones."""
        fresh = []
        for fact in facts:
            known = self.facts.get((fact.vm, fact.kind, fact.key))
            if fact.vm == self.vm or (known is not None and not _is_newer(fact, known)):
                continue
            self.facts[(fact.vm, fact.kind, fact.key)] = fact
            fresh.append(fact)
        return tuple(fresh)

    def of_kind(self, kind: str, now_s: float) -> Iterator[Fact]:
        """Yield the facts of a kind that have not expired."""
        for fact in tuple(self.facts.values()):
            if fact.kind == kind and fact.expires_s > now_s:
                yield fact

    def own(self, now_s: float) -> tuple[Fact, ...]:
        """Return this VM's facts that have not expired."""
        return tuple(f for f in self.facts.values() if f.vm == self.vm and f.expires_s > now_s)

    def expire(self, now_s: float) -> None:
        """Drop expired facts."""
        self.facts = {key: fact for key, fact in self.facts.items() if fact.expires_s > now_s}


def _is_newer(fact: Fact, known: Fact) -> bool:
    return (fact.incarnation, fact.sequence) > (known.incarnation, known.sequence)
