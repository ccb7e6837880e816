"""Records of the policy's state. They hold no decision: `quota_gateway.policy` reads and changes them."""
