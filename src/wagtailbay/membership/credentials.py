"""Load the certificates with which VMs authenticate each other."""

import os
from pathlib import Path

import grpc
from attrs import define, field, frozen
from result import Err, Ok, Result

PEM_MARK = "-----BEGIN"


@frozen
class PeerCertificates:
    """Hold certificate chain, private key and the authority's certificate, each as PEM."""

    certificate: bytes
    key: bytes = field(repr=False)
    authority: bytes


@define
class CertificateSource:
    """Read the certificates again when a file was replaced.

    Each setting is the path of a PEM file or the PEM text itself, for VMs without a disk; only
    files can be replaced while the process runs.
    """

    certificate: str
    key: str = field(repr=False)
    authority: str
    _stamp: tuple = ()
    _loaded: PeerCertificates | None = None

    def load(self) -> Result[PeerCertificates, str]:
        """Return the current certificates; the last good ones while a file cannot be read."""
        try:
            stamp = tuple(_stamp(text) for text in (self.certificate, self.key, self.authority))
            if self._loaded is None or stamp != self._stamp:
                parts = (_read(text) for text in (self.certificate, self.key, self.authority))
                self._loaded, self._stamp = PeerCertificates(*parts), stamp
        except OSError as error:
            if self._loaded is None:
                return Err(f"cannot read a peer certificate: {error}")
        return Ok(self._loaded)


def _stamp(text: str) -> tuple[int, ...] | None:
    if text.startswith(PEM_MARK):
        return None
    status = os.stat(text)
    return (status.st_mtime_ns, status.st_size, status.st_ino)


def _read(text: str) -> bytes:
    return text.encode() if text.startswith(PEM_MARK) else Path(text).read_bytes()


@define
class CertificateReload:
    """Give gRPC the certificates to serve with, once after each replacement.

    gRPC asks at each handshake. A new configuration frees the one before without regard to other
    handshakes that use it at that moment, so the same certificates are not given again.
    """

    source: CertificateSource
    given: PeerCertificates | None = None

    def __call__(self) -> grpc.ServerCertificateConfiguration | None:
        """Return a configuration with replaced certificates, None while nothing has changed."""
        match self.source.load():
            case Ok(loaded) if loaded is not self.given:
                self.given = loaded
                pairs = [(loaded.key, loaded.certificate)]
                return grpc.ssl_server_certificate_configuration(pairs, loaded.authority)
        return None


def server_credentials(source: CertificateSource) -> grpc.ServerCredentials:
    """Return credentials that ask every caller for a certificate and follow replaced files."""
    reload = CertificateReload(source)
    initial = reload()
    if initial is None:
        raise ValueError("the certificates must have been loaded once before")
    return grpc.dynamic_ssl_server_credentials(initial, reload, require_client_authentication=True)


def channel_credentials(certificates: PeerCertificates) -> grpc.ChannelCredentials:
    """Return credentials for calls."""
    return grpc.ssl_channel_credentials(
        certificates.authority, certificates.key, certificates.certificate
    )
