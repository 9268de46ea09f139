"""Test the validation of documents."""

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
    parse_fleet,
    parse_named,
    parse_service,
    read_document,
)
from wagtailbay.store import StoredObject

ROOT = Path(__file__).parents[2]
DRAIN = {"start_unix_s": 10, "deadline_unix_s": 20}


def faults_of(document: dict) -> dict[str, str]:
    """Return the faults of a service document by path, with its references to the fleet."""
    match parse_service(document):
        case Err(faults):
            return {fault.path: fault.message for fault in faults}
        case Ok(model):
            found = check_references(model, parse_fleet(fleet_document()).unwrap())
            return {fault.path: fault.message for fault in found}


def changed_target(**changes) -> dict:
    """Return a service document whose first target has other fields."""
    document = service_document()
    document["targets"][0] |= changes
    return document


class TestServiceFaults:
    """Every fault of a service document names its field."""

    @pytest.mark.parametrize(
        ("document", "path"),
        [
            (service_document(colour="red"), "colour"),
            (changed_target(slots=0), "targets[0].slots"),
            (changed_target(weight=1), "targets[0].weight"),
            (changed_target(address="10.0.0.1:0"), "targets[0].address"),
            (changed_target(address="999.0.0.1:80"), "targets[0].address"),
            (changed_target(version="v1\n"), "targets[0].version"),
            (changed_target(availability_zone="z9"), "targets[0].availability_zone"),
            (changed_target(target="records-2"), "targets[1]"),
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
    def test_fault_names_field(self, document: dict, path: str) -> None:
        """Guards against a fault that is accepted or reported at another field."""
        assert path in faults_of(document)

    def test_all_faults_come_together(self) -> None:
        """Guards against an operator who learns of one fault at a time."""
        document = changed_target(slots=0, weight=1)
        del document["owner"]
        assert set(faults_of(document)) == {"owner", "targets[0].slots", "targets[0].weight"}

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
    def test_any_value_gives_faults(self, value) -> None:
        """Guards against input that raises instead of being refused."""
        assert isinstance(parse_service(value), Err)
        assert isinstance(parse_fleet(value), Err)
        document_name(value)

    def test_deep_nesting_is_refused(self) -> None:
        """Guards against a stack overflow while a message formats the value."""
        value: list = []
        for _ in range(500):
            value = [value]
        assert "nested" in str(parse_service(service_document(owner=value)).err_value[0])


class TestDecoding:
    """Text that is no document gives a fault."""

    @pytest.mark.parametrize("data", [b"\xff", b"{", b"[" * 200_000, b'"' + b"x" * 1_000_001])
    def test_bad_text_is_refused(self, data: bytes) -> None:
        """Guards against a request body that ends the process."""
        assert isinstance(decode_json(data), Err)
        assert isinstance(decode_toml(data), Err)

    def test_missing_file_is_refused(self, tmp_path: Path) -> None:
        """Guards against a traceback for a mistyped file name."""
        assert read_document(tmp_path / "none.toml").err_value.path == "(file)"


class TestFleetFaults:
    """Every fault of a fleet document names its field."""

    def test_removed_zone_names_the_service(self) -> None:
        """Guards against a fleet document that strands a service's targets."""
        smaller = fleet_document(
            availability_zones=fleet_document()["availability_zones"][:1], links=[]
        )
        model = parse_fleet(smaller).unwrap()
        faults = check_fleet_references(model, [parse_service(service_document()).unwrap()])
        assert "service 'records': targets[1].availability_zone" in faults[0].message

    @pytest.mark.parametrize("ends", [("a", "a"), ("a", "z")])
    def test_link_must_join_two_known_regions(self, ends: tuple[str, str]) -> None:
        """Guards against a link budget that no traffic can match."""
        link = {"from_region": ends[0], "to_region": ends[1], "capacity_mbit_per_s": 1}
        assert parse_fleet(fleet_document(links=[link])).err_value[0].path == "links[0].to_region"


class TestView:
    """A VM keeps the last document that it could use."""

    def test_unusable_document_keeps_previous(self) -> None:
        """Guards against a service that vanishes because of a document of a later release."""
        good = StoredObject("documents/records", 1, service_document())
        bad = StoredObject("documents/records", 2, service_document(service="other"))
        view = build_view(build_view(ConfigView(), {good.key: good}), {bad.key: bad})
        assert view.services["records"].service == "records"
        assert view.faults["documents/records"][0].path == "service"
        assert view.versions["documents/records"] == 1

    def test_deleted_document_clears_fault(self) -> None:
        """Guards against a fault that status shows after its document is gone."""
        bad = StoredObject("documents/records", 1, {})
        gone = StoredObject("documents/records", 2, None)
        view = build_view(build_view(ConfigView(), {bad.key: bad}), {gone.key: gone})
        assert view.faults == {}


class TestPublishedFiles:
    """What the repository publishes is valid and current."""

    @pytest.mark.parametrize("name", ["service", "fleet"])
    def test_schema_equals_packaged_one(self, name: str) -> None:
        """Guards against a published schema that differs from the one in use."""
        published = (ROOT / f"docs/schema/{name}.schema.json").read_text()
        packaged = (ROOT / f"src/wagtailbay/config/{name}.schema.json").read_text()
        assert json.loads(published) == json.loads(packaged)

    @pytest.mark.parametrize("user", ["acervo", "cascadia"])
    def test_examples_are_valid(self, user: str) -> None:
        """Guards against examples that admin would refuse or that miss the stated size."""
        folder = ROOT / "examples" / user
        documents = {p.stem: read_document(p).unwrap() for p in folder.glob("*.toml")}
        vms = documents.pop("vms")["vms"]
        models = {name: parse_named(name, value).unwrap() for name, value in documents.items()}
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
