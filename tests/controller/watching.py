"""Settings of a single node that watches the store."""

from balsamlug.config import schema


def settings() -> schema.NodeSettings:
    return schema.NodeSettings(
        id="node-1",
        site="s",
        region="r",
        failure_domain="fd",
        address="127.0.0.1",
        caller_port=1,
        control_port=2,
        peer_port=3,
        admin_port=4,
        platform="http://127.0.0.1:1",
        peers=(),
    )
