"""Workers: machine state, sessions, leases, reports and orders."""
