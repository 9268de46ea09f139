"""Test the values that the codec of facts keeps."""

from attrs import frozen

from wagtailbay.membership import FactCodec
from wagtailbay.membership.const import MAX_CACHED_FACT_BYTES, MAX_CACHED_FACTS


@frozen
class Note:
    """Hold one value."""

    text: str


def codec() -> FactCodec:
    """Return a codec that knows two kinds."""
    return FactCodec({"note": Note, "other": Note})


class TestKeptValues:
    """Kept values change no result and stay bounded."""

    def test_results_are_those_of_a_codec_that_keeps_nothing(self) -> None:
        """Guards against a value that is taken for another one with the same address or text."""
        kept = codec()
        for number in range(3 * MAX_CACHED_FACTS):
            value = Note(f"n{number % 700}")
            data = kept.encode("note", value).ok_value
            assert data == codec().encode("note", value).ok_value
            assert kept.decode("note", data).ok_value == value
        assert len(kept.encoded) <= MAX_CACHED_FACTS
        assert len(kept.decoded) <= MAX_CACHED_FACTS

    def test_long_and_malformed_texts_are_not_kept(self) -> None:
        """Guards against memory that a peer fills with long facts."""
        kept = codec()
        long = Note("x" * MAX_CACHED_FACT_BYTES)
        assert kept.decode("note", kept.encode("note", long).ok_value).ok_value == long
        assert kept.decode("note", b"[").is_err()
        assert kept.decode("unknown", b"{}").is_err()
        assert (kept.encoded, kept.decoded) == ({}, {})

    def test_a_kind_is_part_of_what_is_kept(self) -> None:
        """Guards against a value decoded as another kind's class."""
        kept = FactCodec({"note": Note})
        data = kept.encode("note", Note("a")).ok_value
        kept.decode("note", data)
        assert kept.decode("other", data).is_err()
