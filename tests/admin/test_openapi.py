"""Test that the administration API matches its OpenAPI document."""

from typing import Any

import pytest
from jsonschema import Draft202012Validator
from support.admin import AdminTestServer
from support.documents import fleet_document, service_document

UNKNOWN_KEY_ID = "0" * 64


def submit_body(document: Any, version: int = 0) -> dict[str, Any]:
    """Return the body of a request that submits a document."""
    return {"document": document, "expected_version": version, "reason": "test"}


class OpenApiChecker:
    """Validates responses against the OpenAPI document and records the covered statuses."""

    def __init__(self, server: AdminTestServer, openapi: dict[str, Any]) -> None:
        self.server, self.openapi, self.covered = server, openapi, set()

    async def check(
        self,
        status: int,
        method: str,
        template: str,
        body: Any = None,
        *,
        query: str = "",
        who: str | None = "ana",
        **parameters: str,
    ) -> Any:
        """Send a request, check the status and validate the response; return its JSON value."""
        path = template.format(**parameters) + query
        actual_status, value = await self.server.request(method, path, body, who)
        assert actual_status == status, (method, path, value)
        operation = self.openapi["paths"][template][method.lower()]
        response = operation["responses"][str(status)]
        if "$ref" in response:
            name = response["$ref"].removeprefix("#/components/responses/")
            response = self.openapi["components"]["responses"][name]
        schema = response["content"]["application/json"]["schema"]
        resolvable_schema = {**schema, "components": self.openapi["components"]}
        Draft202012Validator(resolvable_schema).validate(value)
        self.covered.add((template, method.lower(), str(status)))
        return value


@pytest.fixture
async def checker(nursery) -> OpenApiChecker:
    """Return a checker on an admin server with two VMs and no documents."""
    server = await AdminTestServer().start(nursery, vms=2)
    _, openapi = await server.request("GET", "/openapi.json", who=None)
    return OpenApiChecker(server, openapi)


async def check_documents(check: Any) -> None:
    """Send requests that cover the document endpoints."""
    path = "/v1/documents/{name}"
    await check(200, "PUT", path, submit_body(fleet_document()), name="fleet")
    put = await check(200, "PUT", path, submit_body(service_document()), name="records")
    await check(409, "PUT", path, submit_body(service_document()), name="records")
    await check(422, "PUT", path, submit_body(service_document(colour=1)), name="records")
    await check(200, "POST", "/v1/validate", {"document": service_document()})
    await check(422, "POST", "/v1/validate", {"document": service_document(colour=1)})
    await check(200, "GET", "/v1/documents")
    await check(200, "GET", path, name="records")
    await check(404, "GET", path, name="missing")
    await check(404, "DELETE", path, name="missing", query="?expected_version=1")
    await check(422, "DELETE", path, name="records", query="?expected_version=x")
    await check(409, "DELETE", path, name="records", query="?expected_version=999")
    delete = f"?expected_version={put['version']}&reason=test"
    await check(200, "DELETE", path, name="records", query=delete)
    await check(200, "PUT", path, submit_body(service_document()), name="records")


async def check_keys(check: Any) -> None:
    """Send requests that cover the key endpoints."""
    withdrawal = "/v1/keys/{key_id}/withdrawal"
    granted = await check(201, "POST", "/v1/keys", {"workspace": "unam", "reason": "test"})
    key_id = granted["key_id"]
    await check(422, "POST", "/v1/keys", {"workspace": "nobody", "reason": "test"})
    await check(200, "GET", "/v1/keys")
    await check(404, "GET", withdrawal, key_id=key_id)
    await check(422, "POST", withdrawal, {}, key_id=key_id)
    await check(404, "POST", withdrawal, {"reason": "test"}, key_id=UNKNOWN_KEY_ID)
    await check(200, "POST", withdrawal, {"reason": "test"}, key_id=key_id)
    await check(200, "GET", withdrawal, key_id=key_id)


async def check_read_requests(check: Any) -> None:
    """Send requests that cover the other read-only endpoints."""
    for path in ("/-/ready", "/openapi.json"):
        await check(200, "GET", path, who=None)
    for path in ("/v1/moves", "/v1/fleet", "/v1/audit", "/v1/status"):
        await check(200, "GET", path)
    await check(422, "GET", "/v1/audit", query="?limit=0")


class TestOpenApi:
    """The OpenAPI document describes exactly the responses that occur."""

    async def test_every_documented_status_is_covered(self, checker: OpenApiChecker) -> None:
        """Guards against documented statuses that do not occur and responses that are invalid."""
        store = checker.server.store
        await store.put("moves/records", {"phase": "running", "step": 0}, 0)
        await check_documents(checker.check)
        await check_keys(checker.check)
        await check_read_requests(checker.check)
        store.down = True
        bodies = {
            "/v1/validate": {"document": service_document()},
            "/v1/keys": {"workspace": "unam", "reason": "test"},
            "/v1/documents/{name}": submit_body(service_document()),
            "/v1/keys/{key_id}/withdrawal": {"reason": "test"},
        }
        described = set()
        for template, operations in checker.openapi["paths"].items():
            for method, operation in operations.items():
                described |= {(template, method, status) for status in operation["responses"]}
                if "503" in operation["responses"]:
                    body = None if method == "get" else bodies[template]
                    names = {"name": "records", "key_id": UNKNOWN_KEY_ID}
                    query = "?expected_version=1" if method == "delete" else ""
                    arguments = (method.upper(), template, body)
                    await checker.check(503, *arguments, query=query, **names)
                    for who in (None, "wrong"):
                        await checker.check(401, *arguments, query=query, who=who, **names)
        assert checker.covered == described
