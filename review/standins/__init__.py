"""Stand-ins for users, workers, the cloud and the state service, written from the users' pages."""
