"""The fleet: what to rent and return, and the calls to the cloud."""
