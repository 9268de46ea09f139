"""Hold the programs, which only wire the slices up."""
