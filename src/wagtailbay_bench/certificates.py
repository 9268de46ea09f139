"""Issue the certificates with which the VMs of a deployment authenticate each other."""

import os
from collections.abc import Iterable
from pathlib import Path

import trustme
from attrs import define, field

from wagtailbay.membership.const import CERTIFICATE_NAME


@define
class CertificateFolder:
    """Hold each VM's certificate, key and authority as files under ``<folder>/<vm>``."""

    folder: Path
    vms: Iterable[str]
    authority: trustme.CA = field(factory=trustme.CA)

    def issue(self) -> None:
        """Give every VM a new key and certificate of the authority."""
        for vm in self.vms:
            issued = self.authority.issue_cert(CERTIFICATE_NAME)
            self._replace_file(vm, "key", issued.private_key_pem.bytes())
            self._replace_file(vm, "certificate", issued.cert_chain_pems[0].bytes())

    def trust(self, *authorities: trustme.CA) -> None:
        """Let every VM trust these authorities and no other."""
        bundle = b"".join(authority.cert_pem.bytes() for authority in authorities)
        for vm in self.vms:
            self._replace_file(vm, "authority", bundle)

    def _replace_file(self, vm: str, name: str, content: bytes) -> None:
        """Replace a file in one step, as an operator does while the VM runs."""
        path = self.folder / vm / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.with_suffix(".new").write_bytes(content)
        os.replace(path.with_suffix(".new"), path)
