"""Entry point of a daemon on the users' platform: ``python -m passgate.platform``."""

from passgate.process_signals import block_signals

if __name__ == "__main__":
    block_signals()
    from passgate.platform.program import main  # slow, so signals are blocked before this import

    main()
