"""Know the fleet's VMs and exchange messages with them."""

from wagtailbay.membership.facts import Fact, FactTable
from wagtailbay.membership.models import Member, VmIdentity, VmState
from wagtailbay.membership.roster import Roster

__all__ = ["Fact", "FactTable", "Member", "Roster", "VmIdentity", "VmState"]
