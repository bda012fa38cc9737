"""Decisions on which machines to rent and return, and the client of the cloud API."""
