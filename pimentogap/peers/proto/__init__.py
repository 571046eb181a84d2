"""Generated from peers.proto by `make proto`."""
