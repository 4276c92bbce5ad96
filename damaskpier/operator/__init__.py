"""Commands of ``damaskpier``, the command-line program for operators."""
