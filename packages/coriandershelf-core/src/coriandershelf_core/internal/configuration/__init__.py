"""Tracking of the configuration in force, which consists of the inventory and the rules."""
