"""Guards what a router believes of rows in the table, and how it tells one start from the next."""

import parsleyrudder as pr


def info(name, incarnation=1):
    return pr.RouterInfo(name, incarnation, "d", name, "")


def test_row_is_a_hint_until_its_heartbeat_moves():
    """Guards against a dead router that its old row brings into the view of a fresh one."""
    view, rows = pr.FleetView(info("a")), pr.RowWatcher()
    for now, heartbeat, live in ((0.0, 7, ["a"]), (5.0, 7, ["a"]), (10.0, 8, ["a", "b"])):
        view.introduce(info("b"), False, now)
        alive_at = rows.on_row("b", 1, heartbeat, now)
        rows.end_read(["b"], now)
        if alive_at is not None:
            view.heard_from("b", 1, alive_at)
        assert view.live(now) == live
    assert view.silence_s("b", 10.0) == 5.0, "the row was written at any time since the last read"
    assert [peer.name for peer in view.peers(10.0)] == ["b"]


def test_only_rows_without_a_change_for_60_s_are_stale():
    rows = pr.RowWatcher()
    for now in range(0, 66, 5):
        rows.on_row("dead", 1, 3, now)
        rows.on_row("well", 1, now, now)
        rows.end_read(["dead", "well"], now)
        assert rows.stale(now) == (["dead"] if now >= 60 else [])


def test_later_start_replaces_an_earlier_one_and_is_noticed_by_it():
    """Guards against news of an old process that hides the new one, and the reverse."""
    view = pr.FleetView(info("a"))
    assert view.learn(info("b", 2), 1, False, 0.0)
    assert not view.learn(info("b", 1), 99, True, 0.0)
    assert not view.is_leaving("b")
    later = pr.FleetView(info("a", 2))
    view.on_gossip(later.gossip(0, True, False, 0.0), 0.0)
    assert view.outlived


def test_news_of_a_leaving_server_ends_unless_it_is_read_again():
    """Guards against routers that keep a cancelled drain alive by telling each other."""
    views = [pr.FleetView(info(name)) for name in "ab"]
    views[0].note_leaving_servers(["s"], 0.0)
    for now in range(1, 29):
        views[now % 2].on_gossip(views[1 - now % 2].gossip(0, True, False, now), now)
    assert "s" in views[1].leaving_servers(29.0)
    for now in range(30, 40):
        views[now % 2].on_gossip(views[1 - now % 2].gossip(0, True, False, now), now)
    assert not views[0].leaving_servers(40.0)
    assert not views[1].leaving_servers(40.0)
