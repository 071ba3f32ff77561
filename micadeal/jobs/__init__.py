"""Jobs: as the leader knows them, which wait for which, validation of submissions.  Pure."""
