"""Test the values that the codec of facts keeps."""

from attrs import frozen

from wagtailbay.membership import FactCodec
from wagtailbay.membership.const import MAX_CACHED_FACT_BYTES, MAX_CACHED_FACTS


@frozen
class Note:
    """Hold one value."""

    text: str


def make_codec() -> FactCodec:
    """Return a codec that knows two kinds."""
    return FactCodec({"note": Note, "other": Note})


class TestValueCache:
    """Kept values change no result and stay bounded."""

    def test_cached_results_equal_uncached_results(self) -> None:
        """Guards against a value that is taken for another one with the same address or text."""
        codec = make_codec()
        for number in range(3 * MAX_CACHED_FACTS):
            value = Note(f"n{number % 700}")
            data = codec.encode("note", value).ok_value
            assert data == make_codec().encode("note", value).ok_value
            assert codec.decode("note", data).ok_value == value
        assert len(codec.encode_cache) <= MAX_CACHED_FACTS
        assert len(codec.decode_cache) <= MAX_CACHED_FACTS

    def test_long_and_malformed_values_are_not_cached(self) -> None:
        """Guards against memory that a peer fills with long facts."""
        codec = make_codec()
        long_note = Note("x" * MAX_CACHED_FACT_BYTES)
        assert codec.decode("note", codec.encode("note", long_note).ok_value).ok_value == long_note
        assert codec.decode("note", b"[").is_err()
        assert codec.decode("unknown", b"{}").is_err()
        assert (codec.encode_cache, codec.decode_cache) == ({}, {})

    def test_cache_key_includes_kind(self) -> None:
        """Guards against a value decoded as another kind's class."""
        codec = FactCodec({"note": Note})
        data = codec.encode("note", Note("a")).ok_value
        codec.decode("note", data)
        assert codec.decode("other", data).is_err()
