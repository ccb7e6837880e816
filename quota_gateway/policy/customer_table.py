"""The customers that a gateway holds state for: a bounded table, least recently seen first.

Clients choose the customer ids of their requests, so only a limit bounds the memory of the table. A customer
is forgotten once it has been idle for long, or earlier, at the limit, if nothing is lost with its state:
forgetting a customer whose buckets are not full would give it a second burst.
"""

from collections.abc import Callable

from quota_gateway.policy_state.customers import Customer

# Customers that one request looks at to make room. Those that have to stay move to the end of the table, so
# that the next request looks at others.
MAX_CANDIDATES = 16


class CustomerTable:
    """Customers by key. `by_key` is ordered by the last request, but for customers that had to stay."""

    def __init__(self, max_customers: int) -> None:
        self._max_customers = max_customers
        self.by_key: dict[str, Customer] = {}

    def get(self, key: str) -> Customer | None:
        """Return a customer as the most recently seen one, or None if it is not in the table."""
        customer = self.by_key.pop(key, None)
        if customer is not None:
            self.by_key[key] = customer
        return customer

    def add(self, customer: Customer) -> None:
        """Add a customer. `make_room` must have returned true since the last call."""
        self.by_key[customer.key] = customer

    def make_room(self, can_forget: Callable[[Customer], bool]) -> bool:
        """Return whether a customer can be added; at the limit, forget one for which `can_forget` is true."""
        if len(self.by_key) < self._max_customers:
            return True
        for _ in range(min(MAX_CANDIDATES, len(self.by_key))):
            customer = self._pop_oldest()
            if can_forget(customer):
                return True
            self.by_key[customer.key] = customer
        return False

    def forget_idle(self, now_ms: float, idle_ms: float) -> list[Customer]:
        """Remove and return the customers without a request for `idle_ms`.

        A customer with attempts in flight or pending counter calls stays.
        """
        forgotten = []
        for _ in range(len(self.by_key)):
            oldest = next(iter(self.by_key.values()))
            if now_ms - oldest.last_seen_ms < idle_ms:
                break
            customer = self._pop_oldest()
            if customer.in_flight or customer.pending_calls:
                self.by_key[customer.key] = customer
            else:
                forgotten.append(customer)
        return forgotten

    def _pop_oldest(self) -> Customer:
        return self.by_key.pop(next(iter(self.by_key)))
