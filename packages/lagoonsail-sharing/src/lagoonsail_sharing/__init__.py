"""Fair queueing, slow start, server choice and shard assignment."""
