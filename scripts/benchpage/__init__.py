"""The page of a bench's results, and the tables of the docs that come from them."""
