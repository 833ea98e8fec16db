"""The pages that a manager serves to operators and the balancer."""
