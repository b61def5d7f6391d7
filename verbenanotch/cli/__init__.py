"""The daemon's entry point and the command-line tool."""
