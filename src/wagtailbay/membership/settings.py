"""Settings for the connections between entry VMs."""

import ipaddress

from attrs import frozen
from result import Err, Ok, Result

from wagtailbay.membership.credentials import CertificateSource
from wagtailbay.settings import SettingError, setting
from wagtailbay.settings.checks import (
    parse_address,
    parse_named_addresses,
    parse_switch,
    split_address,
)


@frozen
class PeerSettings:
    """Addresses and certificates for the exchange of messages with other entry VMs."""

    peer_listen_address: str = setting(
        help_text="address where other VMs connect; empty runs without peers",
        default="",
        parse=lambda text: parse_address(text) if text else "",
    )
    peers: dict[str, str] = setting(
        help_text="other VMs' peer addresses as vm=ip:port,...",
        default={},
        parse=parse_named_addresses,
    )
    peer_routes: dict[str, str] = setting(
        help_text="addresses to call instead of the VMs' own, as vm=ip:port,...",
        default={},
        parse=parse_named_addresses,
    )
    peer_certificate: str = setting(help_text="certificate chain, as PEM or path", default="")
    peer_key: str = setting(help_text="private key, as PEM or path", default="")
    peer_authority: str = setting(help_text="CA certificate, as PEM or path", default="")
    peer_insecure: bool = setting(
        help_text="on: disable TLS between VMs, on loopback only", default=False, parse=parse_switch
    )


def certificate_source(
    settings: PeerSettings,
) -> Result[CertificateSource | None, tuple[SettingError, ...]]:
    """Return the source of certificates, None without TLS, or the faults of the settings."""
    if not settings.peer_listen_address:
        return Ok(None)
    if settings.peer_insecure:
        addresses = (
            settings.peer_listen_address,
            *settings.peers.values(),
            *settings.peer_routes.values(),
        )
        if all(ipaddress.ip_address(split_address(a)[0]).is_loopback for a in addresses):
            return Ok(None)
        return Err((SettingError("--peer-insecure", "is allowed on loopback addresses only"),))
    pem_settings = {
        "--peer-certificate": settings.peer_certificate,
        "--peer-key": settings.peer_key,
        "--peer-authority": settings.peer_authority,
    }
    missing = tuple(
        SettingError(name, "is required") for name, text in pem_settings.items() if not text
    )
    if missing:
        return Err(missing)
    source = CertificateSource(*pem_settings.values())
    match source.load():
        case Err(reason):
            return Err((SettingError("--peer-certificate", reason),))
    return Ok(source)
