"""Capacity of VMs, by which callers and control duties are assigned to them."""

from wagtailbay.capacity.models import VmCapacity
from wagtailbay.capacity.selection import high_capacity_vms

__all__ = ["VmCapacity", "high_capacity_vms"]
