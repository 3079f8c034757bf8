"""Long-running jobs that survive the loss of the entry VM that accepted them."""
