"""Issue the certificates for mutual TLS between the VMs of a deployment."""

import os
from collections.abc import Iterable
from pathlib import Path

import trustme
from attrs import define, field

from wagtailbay.membership.const import CERTIFICATE_NAME


@define
class CertificateFolder:
    """Folder with the certificate, key and authority bundle of each VM, under ``<folder>/<vm>``."""

    folder: Path
    vms: Iterable[str]
    authority: trustme.CA = field(factory=trustme.CA)

    def issue(self) -> None:
        """Issue a new key and certificate to every VM."""
        for vm in self.vms:
            issued = self.authority.issue_cert(CERTIFICATE_NAME)
            self._replace_file(vm, "key", issued.private_key_pem.bytes())
            self._replace_file(vm, "certificate", issued.cert_chain_pems[0].bytes())

    def trust(self, *authorities: trustme.CA) -> None:
        """Replace the authority bundle of every VM with these authorities."""
        bundle = b"".join(authority.cert_pem.bytes() for authority in authorities)
        for vm in self.vms:
            self._replace_file(vm, "authority", bundle)

    def _replace_file(self, vm: str, name: str, content: bytes) -> None:
        """Replace a file atomically, as an operator does while the VM is running."""
        path = self.folder / vm / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.with_suffix(".new").write_bytes(content)
        os.replace(path.with_suffix(".new"), path)
