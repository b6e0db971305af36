"""A server leaves after open connections to the store have gone silent."""

from review import kit2
from review import leaving


async def play(deployment: kit2.Deployment, has_trouble: bool) -> bool:
    """Play the case and return whether the rule held."""

    async def silence() -> None:
        if has_trouble:
            count = deployment.proxy.silence()
            deployment.record("silence", connections=count)

    return await leaving.play(deployment, silence)


if __name__ == "__main__":
    kit2.main(__file__, play)
