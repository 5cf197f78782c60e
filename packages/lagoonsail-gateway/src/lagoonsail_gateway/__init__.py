"""A router that decides alone, within its share of what the fleet may do."""
