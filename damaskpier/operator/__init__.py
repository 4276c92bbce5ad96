"""Operators' side: the commands of the ``damaskpier`` program."""
