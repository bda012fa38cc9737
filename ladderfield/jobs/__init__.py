"""Jobs as users see them: submission, polls, cancellation, and what is kept of a job in the state service."""
