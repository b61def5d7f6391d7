"""Library code that the tests share."""
