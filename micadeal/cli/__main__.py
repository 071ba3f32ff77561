"""Run the command line with ``python -m micadeal.cli``."""

from micadeal.cli.main import main

main()
