"""Tracking of the configuration, that is the inventory and rules, in force."""
