"""Election under a lease of the state service, and the rules for standing down."""
