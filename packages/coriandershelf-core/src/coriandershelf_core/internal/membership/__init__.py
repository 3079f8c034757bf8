"""Tracking of which VMs are live, leaving or gone."""
