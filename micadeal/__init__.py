"""micadeal: a fair-share cluster scheduler that runs as a few equal controllers."""

__version__ = "0.1.0"
