"""Parses and checks router settings and service documents."""
