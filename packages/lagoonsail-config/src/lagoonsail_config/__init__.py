"""Checked settings of a process and the service documents of the teams."""
