"""The tool's commands, one module each."""
