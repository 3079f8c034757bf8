"""Which VMs are live, leaving or gone."""
