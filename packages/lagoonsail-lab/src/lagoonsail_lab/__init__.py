"""Emulator, load, experiments and proofs over real processes."""
