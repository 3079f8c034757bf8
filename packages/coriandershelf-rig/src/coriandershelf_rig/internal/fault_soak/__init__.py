"""Random faults on real entry VMs at the platform's border, judged from outside."""
