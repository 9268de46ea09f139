"""Test decoding and validation of documents."""

import json
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from support.documents import fleet_document, service_document
from support.properties import PROPERTY

from wagtailbay.config import (
    ConfigView,
    build_view,
    check_fleet_references,
    check_references,
    decode_json,
    decode_toml,
    document_name,
    parse_document,
    parse_fleet,
    parse_service,
    read_document,
)
from wagtailbay.store import StoredObject

ROOT = Path(__file__).parents[2]
DRAIN = {"start_unix_s": 10, "deadline_unix_s": 20}


def errors_by_path(document: dict) -> dict[str, str]:
    """Return the error messages of a service document and its fleet references by path."""
    match parse_service(document):
        case Err(errors):
            return {error.path: error.message for error in errors}
        case Ok(model):
            reference_errors = check_references(model, parse_fleet(fleet_document()).unwrap())
            return {error.path: error.message for error in reference_errors}


def service_with_target_changes(**changes) -> dict:
    """Return a service document with changed fields in its first target."""
    document = service_document()
    document["targets"][0] |= changes
    return document


class TestServiceValidation:
    """Tests of the validation of service documents."""

    @pytest.mark.parametrize(
        ("document", "path"),
        [
            (service_document(colour="red"), "colour"),
            (service_with_target_changes(slots=0), "targets[0].slots"),
            (service_with_target_changes(weight=1), "targets[0].weight"),
            (service_with_target_changes(address="10.0.0.1:0"), "targets[0].address"),
            (service_with_target_changes(address="999.0.0.1:80"), "targets[0].address"),
            (service_with_target_changes(version="v1\n"), "targets[0].version"),
            (service_with_target_changes(availability_zone="z9"), "targets[0].availability_zone"),
            (service_with_target_changes(target="records-2"), "targets[1]"),
            (service_document(service="fleet"), "service"),
            (service_document(regions=[{"region": "a", "capacity_per_s": 1}]), "regions"),
            (service_document(regions=[{"region": "q", "capacity_per_s": 1}]), "regions[0].region"),
            (
                service_document(
                    workspaces=[{"workspace": "w", "rate_per_s": float("nan"), "burst": 1}]
                ),
                "workspaces[0].rate_per_s",
            ),
            (
                service_document(
                    workspaces=[{"workspace": "w", "rate_per_s": 10**400, "burst": 1}]
                ),
                "workspaces[0].rate_per_s",
            ),
            (
                service_document(drains=[{"kind": "target", "name": "gone", **DRAIN}]),
                "drains[0].name",
            ),
            (
                service_document(drains=[{"kind": "region", "name": "gone", **DRAIN}]),
                "drains[0].name",
            ),
            (
                service_document(drains=[{"kind": "availability_zone", "name": "gone", **DRAIN}]),
                "drains[0].name",
            ),
            (
                service_document(version_plan={"old_version": "v1", "new_version": "v1", **DRAIN}),
                "version_plan.new_version",
            ),
            (
                service_document(version_plan={"old_version": "v0", "new_version": "v1", **DRAIN}),
                "version_plan.old_version",
            ),
        ],
    )
    def test_error_names_field(self, document: dict, path: str) -> None:
        """Guards against an invalid field that is accepted or reported under another path."""
        assert path in errors_by_path(document)

    def test_all_errors_are_reported_together(self) -> None:
        """Guards against validation that stops at the first error.

        All errors of a document must be reported together.
        """
        document = service_with_target_changes(slots=0, weight=1)
        del document["owner"]
        assert set(errors_by_path(document)) == {"owner", "targets[0].slots", "targets[0].weight"}

    @PROPERTY
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
            lambda inner: st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["service", "targets", "routes", "max_vms", "x\n"]),
                inner,
                max_size=4,
            ),
            max_leaves=8,
        )
    )
    def test_arbitrary_input_is_rejected(self, value) -> None:
        """Guards against an exception from validation, or acceptance of arbitrary input."""
        assert isinstance(parse_service(value), Err)
        assert isinstance(parse_fleet(value), Err)
        document_name(value)

    def test_deep_nesting_is_rejected(self) -> None:
        """Guards against a stack overflow while a deeply nested value is formatted.

        Deep nesting must be rejected, since formatting it for a message could overflow.
        """
        value: list = []
        for _ in range(500):
            value = [value]
        assert "nested" in str(parse_service(service_document(owner=value)).err_value[0])


class TestDecoding:
    """Tests of decoding invalid input."""

    @pytest.mark.parametrize("data", [b"\xff", b"{", b"[" * 200_000, b'"' + b"x" * 1_000_001])
    def test_invalid_text_is_rejected(self, data: bytes) -> None:
        """Guards against a decoder that raises on an invalid request body.

        The decoder must return an error instead.
        """
        assert isinstance(decode_json(data), Err)
        assert isinstance(decode_toml(data), Err)

    def test_missing_file_is_reported(self, tmp_path: Path) -> None:
        """Guards against a traceback when a document file is missing.

        The missing file must be reported as an error.
        """
        assert read_document(tmp_path / "none.toml").err_value.path == "(file)"


class TestFleetValidation:
    """Tests of the validation of fleet documents."""

    def test_removed_zone_reports_referencing_service(self) -> None:
        """Guards against removing a zone that a service's targets still use.

        The removal must be reported as an error.
        """
        smaller = fleet_document(
            availability_zones=fleet_document()["availability_zones"][:1], links=[]
        )
        model = parse_fleet(smaller).unwrap()
        errors = check_fleet_references(model, [parse_service(service_document()).unwrap()])
        assert "service 'records': targets[1].availability_zone" in errors[0].message

    @pytest.mark.parametrize("ends", [("a", "a"), ("a", "z")])
    def test_link_must_connect_two_known_regions(self, ends: tuple[str, str]) -> None:
        """Guards against a link from a region to itself or to an unknown region.

        A link must connect two different known regions.
        """
        link = {"from_region": ends[0], "to_region": ends[1], "capacity_mbit_per_s": 1}
        assert parse_fleet(fleet_document(links=[link])).err_value[0].path == "links[0].to_region"


class TestBuildView:
    """Tests of building the configuration view."""

    def test_invalid_document_keeps_previous(self) -> None:
        """Guards against losing a service when its new document is invalid.

        A document of a later release, which is invalid here, must keep the service.
        """
        good = StoredObject("documents/records", 1, service_document())
        bad = StoredObject("documents/records", 2, service_document(service="other"))
        view = build_view(build_view(ConfigView(), {good.key: good}), {bad.key: bad})
        assert view.services["records"].service == "records"
        assert view.errors["documents/records"][0].path == "service"
        assert view.versions["documents/records"] == 1

    def test_deleted_document_clears_errors(self) -> None:
        """Guards against errors that are still reported after their document is deleted."""
        bad = StoredObject("documents/records", 1, {})
        gone = StoredObject("documents/records", 2, None)
        view = build_view(build_view(ConfigView(), {bad.key: bad}), {gone.key: gone})
        assert view.errors == {}


class TestPublishedFiles:
    """Tests of the published schemas and examples."""

    @pytest.mark.parametrize("name", ["service", "fleet"])
    def test_published_schema_matches_packaged_schema(self, name: str) -> None:
        """Guards against a published schema that differs from the packaged one."""
        published = (ROOT / f"docs/schema/{name}.schema.json").read_text()
        packaged = (ROOT / f"src/wagtailbay/config/{name}.schema.json").read_text()
        assert json.loads(published) == json.loads(packaged)

    @pytest.mark.parametrize("user", ["acervo", "cascadia"])
    def test_examples_are_valid(self, user: str) -> None:
        """Guards against invalid examples and examples without the documented size."""
        folder = ROOT / "examples" / user
        documents = {p.stem: read_document(p).unwrap() for p in folder.glob("*.toml")}
        vms = documents.pop("vms")["vms"]
        models = {name: parse_document(name, value).unwrap() for name, value in documents.items()}
        fleet_model = models.pop("fleet")
        assert (len(models), fleet_model.max_vms) == (4, 16)
        assert len(vms) == {"acervo": 10, "cascadia": 11}[user]
        assert all(fleet_model.region_of(vm["availability_zone"]) for vm in vms)
        assert {link.capacity_mbit_per_s for link in fleet_model.links} == {4000}
        for model in models.values():
            assert check_references(model, fleet_model) == ()
            assert 12 <= len(model.targets) <= 14
            assert all(3 <= target.slots <= 9 for target in model.targets)
            assert len(model.workspaces) == 8
