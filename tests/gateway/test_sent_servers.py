"""Guards the limit on the servers that one request is sent to."""

from balsamlug.gateway import sent_servers

A, B, C = b"a", b"b", b"c"


def _sent(*attempts: tuple[bytes, bool]) -> sent_servers.SentServers:
    """Return the servers of attempts, each with whether its path was lost."""
    servers = sent_servers.SentServers(2)
    for server, is_disconnected in attempts:
        servers.start(server)
        servers.end(True, is_disconnected)
    return servers


def test_failed_attempts_count_also_at_the_same_server():
    servers = _sent((A, False), (A, False))
    assert servers.count == 2
    assert not servers.allows_another()


def test_attempts_that_lose_only_their_paths_may_go_on_at_their_servers():
    servers = _sent((A, True), (B, True), (B, True), (A, True))
    assert servers.count == 2
    assert servers.allows(A) and servers.allows(B)
    assert not servers.allows(C)


def test_server_that_fails_after_its_path_was_lost_gets_no_more():
    servers = _sent((A, True), (B, True), (A, False))
    assert [servers.allows(s) for s in (A, B, C)] == [False, True, False]


def test_running_attempt_counts_at_once():
    servers = _sent((A, False))
    servers.start(B)
    assert not servers.allows_another()
    servers.end(False, False)
    assert servers.allows(B) and servers.allows(C)


def test_unsent_attempt_may_still_go_on_at_its_server():
    servers = _sent((A, True), (B, False))
    servers.start(A)
    assert not servers.allows(A)
    servers.end(False, False)
    assert [servers.allows(s) for s in (A, B, C)] == [True, False, False]
