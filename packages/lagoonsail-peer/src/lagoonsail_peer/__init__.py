"""Authenticated message streams between routers."""
