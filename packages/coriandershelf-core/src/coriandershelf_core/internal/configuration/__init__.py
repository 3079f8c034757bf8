"""The inventory and rules in force."""
