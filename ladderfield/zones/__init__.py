"""Zone failures: detection, evacuation of a lost zone, and the ordered return of work once the zone is back."""
