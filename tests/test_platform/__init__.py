"""Tests of damaskpier.platform."""
