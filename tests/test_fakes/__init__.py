"""Tests of damaskpier.fakes."""
