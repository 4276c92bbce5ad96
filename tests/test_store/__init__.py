"""Tests of damaskpier.store."""
