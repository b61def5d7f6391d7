"""Tests of verbenanotch."""
