"""Example meshes, their settings and a demonstration."""
