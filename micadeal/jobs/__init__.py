"""Jobs: the leader's model of a job, the dependency graph, validation of submissions.  No I/O."""
