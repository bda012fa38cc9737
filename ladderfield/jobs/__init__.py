"""The jobs API (submission, polling, cancellation) and the job records in the state service."""
