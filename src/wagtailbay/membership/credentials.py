"""Load the certificates with which VMs authenticate each other."""

import os
from pathlib import Path

import grpc
from attrs import define, field, frozen
from result import Err, Ok, Result

PEM_PREFIX = "-----BEGIN"


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
    _file_versions: tuple = ()
    _loaded: PeerCertificates | None = None

    def load(self) -> Result[PeerCertificates, str]:
        """Return the current certificates; the last good ones while a file cannot be read."""
        try:
            file_versions = tuple(
                _file_version(path_or_pem)
                for path_or_pem in (self.certificate, self.key, self.authority)
            )
            if self._loaded is None or file_versions != self._file_versions:
                contents = (
                    _read_pem(path_or_pem)
                    for path_or_pem in (self.certificate, self.key, self.authority)
                )
                self._loaded, self._file_versions = PeerCertificates(*contents), file_versions
        except OSError as error:
            if self._loaded is None:
                return Err(f"cannot read a peer certificate: {error}")
        return Ok(self._loaded)


def _file_version(path_or_pem: str) -> tuple[int, ...] | None:
    if path_or_pem.startswith(PEM_PREFIX):
        return None
    file_stat = os.stat(path_or_pem)
    return (file_stat.st_mtime_ns, file_stat.st_size, file_stat.st_ino)


def _read_pem(path_or_pem: str) -> bytes:
    return (
        path_or_pem.encode()
        if path_or_pem.startswith(PEM_PREFIX)
        else Path(path_or_pem).read_bytes()
    )


@define
class CertificateReloader:
    """Give gRPC the certificates to serve with, once after each replacement.

    gRPC asks at each handshake. A new configuration frees the one before without regard to other
    handshakes that use it at that moment, so the same certificates are not given again.
    """

    source: CertificateSource
    last_returned: PeerCertificates | None = None

    def __call__(self) -> grpc.ServerCertificateConfiguration | None:
        """Return a configuration with replaced certificates, None while nothing has changed."""
        match self.source.load():
            case Ok(loaded) if loaded is not self.last_returned:
                self.last_returned = loaded
                key_certificate_pairs = [(loaded.key, loaded.certificate)]
                return grpc.ssl_server_certificate_configuration(
                    key_certificate_pairs, loaded.authority
                )
        return None


def server_credentials(source: CertificateSource) -> grpc.ServerCredentials:
    """Return credentials that ask every caller for a certificate and follow replaced files."""
    reloader = CertificateReloader(source)
    initial = reloader()
    if initial is None:
        raise ValueError("the certificates must have been loaded once before")
    return grpc.dynamic_ssl_server_credentials(
        initial, reloader, require_client_authentication=True
    )


def channel_credentials(certificates: PeerCertificates) -> grpc.ChannelCredentials:
    """Return credentials for calls."""
    return grpc.ssl_channel_credentials(
        certificates.authority, certificates.key, certificates.certificate
    )
