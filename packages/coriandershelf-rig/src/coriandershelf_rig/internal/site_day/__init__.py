"""Plays days of a site with entry VMs as real processes on loopback."""
