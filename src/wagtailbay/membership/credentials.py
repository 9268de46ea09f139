"""Load the certificates for mutual TLS between VMs."""

import os
from pathlib import Path

import grpc
from attrs import define, field, frozen
from result import Err, Ok, Result

PEM_PREFIX = "-----BEGIN"


@frozen
class PeerCertificates:
    """Certificate chain, private key and certificate of the CA, each as PEM."""

    certificate: bytes
    key: bytes = field(repr=False)
    authority: bytes


@define
class CertificateSource:
    """Loads the peer certificates, and reloads them after a file was replaced.

    Each public field is the path of a PEM file or, for VMs without a disk, the PEM text itself.
    Only files can be replaced while the process runs.
    """

    certificate: str
    key: str = field(repr=False)
    authority: str
    _file_versions: tuple = ()
    _loaded: PeerCertificates | None = None

    def load(self) -> Result[PeerCertificates, str]:
        """Return the current certificates; while a file cannot be read, those loaded last."""
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
    """Callback that passes the server's certificates to gRPC, once after each replacement.

    gRPC calls it at each handshake. A new configuration frees the previous one even while other
    handshakes are using it, so unchanged certificates are not returned again.
    """

    source: CertificateSource
    last_returned: PeerCertificates | None = None

    def __call__(self) -> grpc.ServerCertificateConfiguration | None:
        """Return a configuration with new certificates, None if they have not changed."""
        match self.source.load():
            case Ok(loaded) if loaded is not self.last_returned:
                self.last_returned = loaded
                key_certificate_pairs = [(loaded.key, loaded.certificate)]
                return grpc.ssl_server_certificate_configuration(
                    key_certificate_pairs, loaded.authority
                )
        return None


def server_credentials(source: CertificateSource) -> grpc.ServerCredentials:
    """Return credentials that require client certificates and follow replaced files."""
    reloader = CertificateReloader(source)
    initial = reloader()
    if initial is None:
        raise ValueError("the peer certificates cannot be loaded")
    return grpc.dynamic_ssl_server_credentials(
        initial, reloader, require_client_authentication=True
    )


def channel_credentials(certificates: PeerCertificates) -> grpc.ChannelCredentials:
    """Return the credentials of a client channel."""
    return grpc.ssl_channel_credentials(
        certificates.authority, certificates.key, certificates.certificate
    )
