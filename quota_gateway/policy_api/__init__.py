"""The contract between the policy and whatever hosts it: events in, actions out. No decisions."""
