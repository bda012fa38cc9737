"""Workers: their sessions, leases, reports and orders."""
