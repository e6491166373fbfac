"""Scale experiments on fleets of hollow gateways: the real policy, with all around it emulated."""
