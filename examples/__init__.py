"""Example meshes, settings and the demonstration."""
