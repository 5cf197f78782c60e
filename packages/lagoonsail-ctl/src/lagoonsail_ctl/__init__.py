"""lagoonctl, the operators' command line tool."""
