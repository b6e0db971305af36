"""Commands of the command line, with one module for each."""
