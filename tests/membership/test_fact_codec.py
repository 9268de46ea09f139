"""Test the caches of the fact codec."""

from attrs import frozen

from wagtailbay.membership import FactCodec
from wagtailbay.membership.const import MAX_CACHED_FACT_BYTES, MAX_CACHED_FACTS


@frozen
class Note:
    """The value of a test fact."""

    text: str


def make_codec() -> FactCodec:
    """Return a codec for two kinds of the same class."""
    return FactCodec({"note": Note, "other": Note})


class TestValueCache:
    """The caches do not change results and are bounded."""

    def test_cached_results_equal_uncached_results(self) -> None:
        """Guards against cache hits for another value with the same object id or encoding."""
        codec = make_codec()
        for number in range(3 * MAX_CACHED_FACTS):
            value = Note(f"n{number % 700}")
            data = codec.encode("note", value).ok_value
            assert data == make_codec().encode("note", value).ok_value
            assert codec.decode("note", data).ok_value == value
        assert len(codec.encode_cache) <= MAX_CACHED_FACTS
        assert len(codec.decode_cache) <= MAX_CACHED_FACTS

    def test_long_and_malformed_values_are_not_cached(self) -> None:
        """Guards against a peer that fills the memory with long facts."""
        codec = make_codec()
        long_note = Note("x" * MAX_CACHED_FACT_BYTES)
        assert codec.decode("note", codec.encode("note", long_note).ok_value).ok_value == long_note
        assert codec.decode("note", b"[").is_err()
        assert codec.decode("unknown", b"{}").is_err()
        assert (codec.encode_cache, codec.decode_cache) == ({}, {})

    def test_cache_key_includes_kind(self) -> None:
        """Guards against returning the cached value of another kind."""
        codec = FactCodec({"note": Note})
        data = codec.encode("note", Note("a")).ok_value
        codec.decode("note", data)
        assert codec.decode("other", data).is_err()
