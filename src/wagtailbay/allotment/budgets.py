"""Derive the configured budgets and their ledger groups."""

from wagtailbay.config import ConfigView, FleetDocument, ServiceDocument
from wagtailbay.limits import (
    BudgetLimit,
    link_budget,
    region_budget,
    version_budget,
    workspace_budget,
)
from wagtailbay.limits.rates import link_limit, region_limit, version_limit


def budget_limits(view: ConfigView) -> dict[str, BudgetLimit]:
    """Return the limit of every budget in the configuration, by budget name."""
    budgets: dict[str, BudgetLimit] = {}
    for document in view.services.values():
        budgets |= _service_budgets(document)
    if view.fleet is not None:
        budgets |= _link_budgets(view.fleet)
    return budgets


def _service_budgets(document: ServiceDocument) -> dict[str, BudgetLimit]:
    service = document.service
    budgets = {
        workspace_budget(service, w.workspace): BudgetLimit(w.rate_per_s, w.burst)
        for w in document.workspaces
    }
    for region in document.regions:
        budgets[region_budget(service, region.region)] = region_limit(region.capacity_per_s)
    plan = document.version_plan
    if plan is not None and plan.cap_per_s is not None:
        budgets[version_budget(service, plan.new_version)] = version_limit(plan.cap_per_s)
    return budgets


def _link_budgets(fleet: FleetDocument) -> dict[str, BudgetLimit]:
    return {link_budget(link.from_region, link.to_region): link_limit(link) for link in fleet.links}


def ledger_group(budget: str) -> str:
    """Return the ledger group of a budget: one group per service and one for all links."""
    kind, _, rest = budget.partition(":")
    return "links" if kind == "link" else f"services/{rest.partition('/')[0]}"
