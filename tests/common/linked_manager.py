"""Runs a manager whose connections pass through the links of its node.

The manager's code doesn't choose the source address of a connection, so the
links can't tell hosts apart. Here each connection goes to the target's address
as this node's links listen on it.
"""

import os
import sys
from typing import Any

from coltsfootseam.adapter.main import main
from coltsfootseam.calls.client import CallClients
from coltsfootseam.calls.http import HttpClient
from coltsfootseam.testbed.links import linked_address
from coltsfootseam.testbed.switchboard import replace

NODE_VARIABLE = "LINKS_OF_NODE"


def use_links(node: int) -> None:
    """Sends all connections of this process through a node's links."""
    init = HttpClient.__init__
    call = CallClients.call

    def init_linked(
        client: HttpClient, address: str, max_connections: int
    ) -> None:
        init(client, linked_address(address, node), max_connections)

    async def call_linked(
        clients: CallClients, address: str, *arguments: Any
    ) -> Any:
        return await call(clients, linked_address(address, node), *arguments)

    replace(HttpClient, "__init__", init_linked)
    replace(CallClients, "call", call_linked)


if __name__ == "__main__":
    use_links(int(os.environ[NODE_VARIABLE]))
    sys.exit(main())
