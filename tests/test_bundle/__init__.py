"""Tests of damaskpier.bundle."""
