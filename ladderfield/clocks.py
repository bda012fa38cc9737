"""How far the clocks of two machines may drift apart."""

CLOCKS = 1.002  # steady clocks drift apart by up to 0.05% each way; twice that, for rounding
