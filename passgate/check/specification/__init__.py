"""Small specifications of the core protocol, checked exhaustively by ``minicheck``."""
