"""Links to workers and the orders sent to them."""
