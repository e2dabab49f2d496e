"""Control the pools of model engines under leases."""
