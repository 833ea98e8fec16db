"""Quotas of teams: the exchange between pools' owners and the coordinator."""
