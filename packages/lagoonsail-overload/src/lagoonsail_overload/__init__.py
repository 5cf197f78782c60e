"""Overload protection of a process: budgets of file descriptors and of memory."""
