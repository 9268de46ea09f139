"""Entry points of the programs, which assemble and run the slices."""
