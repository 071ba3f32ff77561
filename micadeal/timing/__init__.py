"""Start times of deferrable jobs, chosen by cost from price and carbon series.  No I/O."""
