"""The gateway on real sockets: RESP2 and HTTP/1.1. It carries out what the policy decides."""
