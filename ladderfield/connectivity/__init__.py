"""Partial cuts: which links of a controller work, what it may decide then, and whether it should be leader."""
