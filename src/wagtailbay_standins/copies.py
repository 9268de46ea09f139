"""Second copies of responses, as faulty servers send them."""

import json
from typing import Any

from wagtailbay.transport import Headers, Reply


async def write_again(reply: Reply, status: int, headers: Headers, value: Any) -> None:
    """Write a JSON response once more on the connection of a response that is complete."""
    body = json.dumps(value) + "\n"
    fields = (*headers, ("Content-Length", str(len(body))))
    lines = [f"HTTP/1.1 {status} Again", *(f"{name}: {field}" for name, field in fields)]
    await reply.stream.send_all("\r\n".join((*lines, "", body)).encode("latin-1"))
