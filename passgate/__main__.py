"""Entry point of ``python -m passgate``."""

from passgate.cli import main

if __name__ == "__main__":
    main()
