"""Run the examples' stand-in target for the tests."""

import runpy

if __name__ == "__main__":
    runpy.run_module("examples.stand_in_target", run_name="__main__")
