"""Tests of liveness from table rows, of incarnations and of leaving servers."""

import parsleyrudder as pr


def info(name, incarnation=1):
    return pr.RouterInfo(name, incarnation, "d", name, "")


def test_router_of_a_row_is_live_only_after_its_heartbeat_increases():
    """The old row of a dead router must not make it live for a router that has just started."""
    view, monitor = pr.FleetView(info("a")), pr.HeartbeatMonitor()
    for now, heartbeat, live in ((0.0, 7, ["a"]), (5.0, 7, ["a"]), (10.0, 8, ["a", "b"])):
        view.add_unconfirmed(info("b"), False, now)
        alive_at = monitor.on_row("b", 1, heartbeat, now)
        monitor.finish_read(["b"], now)
        if alive_at is not None:
            view.record_alive("b", 1, alive_at)
        assert view.live_routers(now) == live
    assert view.silence_s("b", 10.0) == 5.0, "the row was written at any time since the last read"
    assert [peer.name for peer in view.peers(10.0)] == ["b"]


def test_only_rows_without_a_change_for_60_s_are_stale():
    monitor = pr.HeartbeatMonitor()
    for now in range(0, 66, 5):
        monitor.on_row("dead", 1, 3, now)
        monitor.on_row("well", 1, now, now)
        monitor.finish_read(["dead", "well"], now)
        assert monitor.stale_routers(now) == (["dead"] if now >= 60 else [])


def test_later_incarnation_replaces_an_earlier_one_and_is_detected_by_it():
    """Information about an old process must not hide the new one, nor the reverse."""
    view = pr.FleetView(info("a"))
    assert view.update_router(info("b", 2), 1, False, 0.0)
    assert not view.update_router(info("b", 1), 99, True, 0.0)
    assert not view.is_leaving("b")
    later = pr.FleetView(info("a", 2))
    view.on_gossip(later.make_gossip(0, True, False, 0.0), 0.0)
    assert view.is_superseded


def test_leaving_server_expires_unless_it_is_read_again():
    """Routers must not keep a cancelled drain active by repeating it to each other in gossip."""
    views = [pr.FleetView(info(name)) for name in "ab"]
    views[0].record_leaving_servers(["s"], 0.0)
    for now in range(1, 29):
        views[now % 2].on_gossip(views[1 - now % 2].make_gossip(0, True, False, now), now)
    assert "s" in views[1].leaving_servers(29.0)
    for now in range(30, 40):
        views[now % 2].on_gossip(views[1 - now % 2].make_gossip(0, True, False, now), now)
    assert not views[0].leaving_servers(40.0)
    assert not views[1].leaving_servers(40.0)
