"""Demonstration of the main job on small stand-ins in own processes."""
