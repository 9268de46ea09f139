"""Track the VMs of the fleet and replicate state between them."""

from wagtailbay.membership.aggregate import FleetAggregator
from wagtailbay.membership.client import PeerClient
from wagtailbay.membership.codec import FactCodec, register_fact
from wagtailbay.membership.exchange import Exchanger
from wagtailbay.membership.facts import Fact, FactTable
from wagtailbay.membership.isolation import IsolationCheck
from wagtailbay.membership.layout import FleetLayout, build_layout
from wagtailbay.membership.loans import LoanGrant, LoanRequest
from wagtailbay.membership.messages import PeerError, PeerFailure
from wagtailbay.membership.models import Member, VmIdentity, VmState
from wagtailbay.membership.peers import PeerLoop, PeerSet
from wagtailbay.membership.quorum import Quorum
from wagtailbay.membership.roster import Roster
from wagtailbay.membership.selection import (
    LiveView,
    choose_watchers,
    is_in_contact,
    live_members,
    responsive_members,
)
from wagtailbay.membership.server import Lender, PeerServer, TokenGranter
from wagtailbay.membership.tokens import (
    TokenDemand,
    TokenGrant,
    TokenGrants,
    TokenRequests,
)
from wagtailbay.membership.watchers import WatcherSelection

__all__ = [
    "Exchanger",
    "Fact",
    "FactCodec",
    "FactTable",
    "FleetAggregator",
    "FleetLayout",
    "IsolationCheck",
    "Lender",
    "LiveView",
    "LoanGrant",
    "LoanRequest",
    "Member",
    "PeerClient",
    "PeerError",
    "PeerFailure",
    "PeerLoop",
    "PeerServer",
    "PeerSet",
    "Quorum",
    "Roster",
    "TokenDemand",
    "TokenGrant",
    "TokenGranter",
    "TokenGrants",
    "TokenRequests",
    "VmIdentity",
    "VmState",
    "WatcherSelection",
    "choose_watchers",
    "build_layout",
    "is_in_contact",
    "live_members",
    "responsive_members",
    "register_fact",
]
